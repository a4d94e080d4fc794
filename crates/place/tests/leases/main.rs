//! Leases, fencing and orders: single cases, and the fault matrix with two holders.

mod matrix;
mod single;
mod world;
