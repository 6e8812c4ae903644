"""Who acted on which version: records, their files, queries."""
