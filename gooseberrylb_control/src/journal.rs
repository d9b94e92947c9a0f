//! The disk side of the control state. Written by the implementation.
