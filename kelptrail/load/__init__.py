"""Load models: arrivals of calls, behaviour of clients, and a load generator that sends the calls over the network."""
