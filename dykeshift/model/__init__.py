"""The fleet at size, in virtual time without sockets: the decision module and its peers, the paper's model.

`day` says what is played, `chance` draws it, `world` plays it with a policy from `peers` or the decision
module, `watch` holds the rules, `figures` says what it came to. `sx`, `laws`, `theory`: the paper's model.
"""
