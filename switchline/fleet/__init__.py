"""The line between gateways: who lives, and facts that the fleet shares. No I/O, no clock, no chance."""
