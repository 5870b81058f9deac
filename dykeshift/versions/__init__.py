"""Settings, lists and bans in versions: replicated by a log, changed by joint phases and staged rollouts."""
