//! Software versions of the servers of a service, as servers come, change and go.

use kernel::Name;
use pick::{LatencyModel, Picker, ServerInfo};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

fn server_info(number: u8, start: u64, service: &str, version: &str) -> ServerInfo {
    ServerInfo {
        id: format!("s{number}").as_str().into(),
        started_unix_ms: start,
        service: service.into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "local".into(),
        slots: 32,
        leaving: false,
        reclaimable: false,
        reclaimed_in_ms: None,
        warmup_ms: 0,
        software_version: version.into(),
    }
}

#[test]
fn the_versions_of_a_service_are_those_of_the_servers_that_are_known() {
    let mut random = StdRng::seed_from_u64(5);
    let mut picker = Picker::new(LatencyModel::default());
    let mut known: BTreeMap<u8, (Name, Name)> = BTreeMap::new();
    for step in 0..2_000 {
        let number = random.random_range(0..12);
        if random.random_bool(0.4) {
            let removed = picker.remove(&format!("s{number}"));
            assert_eq!(removed, known.remove(&number).is_some(), "step {step}");
        } else {
            let service = ["pool", "plain"][random.random_range(0..2)];
            let version = ["v1", "v2", "v3"][random.random_range(0..3)];
            // Some servers start again under their name, others change what they registered.
            picker.upsert(server_info(number, random.random_range(0..2), service, version));
            known.insert(number, (service.into(), version.into()));
        }
        for service in ["pool", "plain"] {
            let of_service = known.values().filter(|(of, _)| *of == service);
            let versions: BTreeSet<Name> = of_service.map(|(_, version)| version.clone()).collect();
            assert_eq!(picker.software_versions(service), versions, "step {step}, {service}");
        }
    }
}
