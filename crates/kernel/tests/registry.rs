//! Service lookup by name and type, and the numbers of the result codes.

use kernel::{Code, Kernel};
use std::sync::Arc;

#[test]
fn service_is_found_by_name() {
    let kernel = Kernel::new();
    kernel.add("answer", Arc::new(42_u32));
    assert_eq!(*kernel.find::<u32>("answer").unwrap(), 42);
}

#[test]
fn unknown_name_or_wrong_type_fails_with_service_missing() {
    let kernel = Kernel::new();
    kernel.add("answer", Arc::new(42_u32));
    assert_eq!(kernel.find::<u32>("question").unwrap_err().code, Code::ServiceMissing);
    assert_eq!(kernel.find::<u64>("answer").unwrap_err().code, Code::ServiceMissing);
}

#[test]
fn code_numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
}
