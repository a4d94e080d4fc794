//! Tests of configuration: acceptance, its fault matrix, synchronisation and distribution.

mod acceptance;
mod config_sync;
mod dissemination;
mod entries;
mod fake_kv;
mod fault_case;
mod fault_matrix;
mod measure;
