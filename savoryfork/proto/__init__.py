"""The peer protocol and the code generated from it."""
