"""The peer protocol and its generated code."""
