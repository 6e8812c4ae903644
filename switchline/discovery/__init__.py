"""The client of discovery: reading the endpoint list and watching it."""
