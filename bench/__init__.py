"""Load and experiment tool: measures the policy against simple baselines."""
