"""What joins the pure fleet protocol to sockets and to the gateway."""
