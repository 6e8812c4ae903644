"""Client of the counter service, which adds up units for all gateways."""
