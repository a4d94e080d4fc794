//! The configuration: acceptance, its fault matrix, and dissemination.

mod cell;
mod config_sync;
mod dissemination;
mod entries;
mod kv;
mod matrix;
mod measure;
mod single;
