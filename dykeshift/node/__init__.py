"""The daemon: one host of the engine, with signals, exit codes and reload."""
