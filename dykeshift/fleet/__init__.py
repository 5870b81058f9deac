"""The fleet at size, in virtual time without sockets: the paper's model and its closed forms."""
