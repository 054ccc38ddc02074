"""Run an entry host: an asynchronous proxy that also answers directory look-ups."""
