"""The lab: plays many real gateways with faults between them, and judges what they did."""
