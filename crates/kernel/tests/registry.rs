//! The kernel finds services by name and type.

use kernel::{Code, Kernel};
use std::sync::Arc;

#[test]
fn a_service_is_found_by_its_name() {
    let kernel = Kernel::new();
    kernel.add("answer", Arc::new(42_u32));
    assert_eq!(*kernel.find::<u32>("answer").unwrap(), 42);
}

#[test]
fn a_missing_service_or_another_type_is_a_numbered_failure() {
    let kernel = Kernel::new();
    kernel.add("answer", Arc::new(42_u32));
    assert_eq!(kernel.find::<u32>("question").unwrap_err().code, Code::ServiceMissing);
    assert_eq!(kernel.find::<u64>("answer").unwrap_err().code, Code::ServiceMissing);
}

#[test]
fn the_numbers_of_the_codes_are_unique_and_rise() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
}
