"""Client of the discovery service: fetches the endpoint list and watches it for changes."""
