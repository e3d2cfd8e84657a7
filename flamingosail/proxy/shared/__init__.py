"""What a node knows and shares with the other nodes."""
