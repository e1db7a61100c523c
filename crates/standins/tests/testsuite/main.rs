//! Tests of the stand-ins.

mod proxy;
