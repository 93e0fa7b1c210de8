"""Jobs of steps and tasks: their model, their state and the decisions on them."""
