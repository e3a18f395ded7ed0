"""Run gateways as processes under random faults and check the promises."""
