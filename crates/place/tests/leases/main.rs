//! Leases, fencing and orders: single cases, and the fault matrix with two competing entries.

mod matrix;
mod single;
mod world;
