//! Asks engines for their load and their cache events, for the schedulers that run here.
