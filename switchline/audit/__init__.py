"""The audit records which versions a gateway acted on and when, in files whose records form a hash chain."""
