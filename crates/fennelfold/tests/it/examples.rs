//! The example deployments are what they say, and pass the checks.

use crate::support::{fennelfold, out};
use conf::{Config, Merged, Node, Source};
use infra::{Vm, VmRole};
use std::collections::BTreeSet;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
/// Each example with its site.
const SITES: [(&str, &str); 3] =
    [("demo", "site"), ("lathwell", "scot-central"), ("sathi-kantha", "bengal-east")];

fn source(example: &str, file: &str) -> Source {
    let path = format!("{EXAMPLES}/{example}/{file}");
    Source::new(file, std::fs::read_to_string(path).unwrap())
}

fn config(example: &str, site: &str) -> Config {
    let sources = [source(example, "base.ini"), source(example, &format!("{site}.ini"))];
    Config::read(&Merged::read(&sources).unwrap()).unwrap()
}

#[tokio::test]
async fn every_example_passes_config_check() {
    for (example, site) in SITES {
        let base = format!("{EXAMPLES}/{example}/base.ini");
        let site = format!("{EXAMPLES}/{example}/{site}.ini");
        let checked = fennelfold(&["config", "check", "--base", &base, "--site", &site]).await;
        assert!(out(&checked).starts_with(&format!("ok: {example} with ")), "{checked:?}");
    }
}

#[test]
fn the_examples_have_four_data_centres_and_five_organisations() {
    for (example, site) in &SITES[1..] {
        let config = config(example, site);
        assert_eq!((config.data_centres.len(), config.organisations.len()), (4, 5), "{example}");
    }
}

#[test]
fn the_settings_of_an_entry_name_a_data_centre_of_the_site() {
    for (example, site) in &SITES[1..] {
        let node = Node::read(&[source(example, "node.ini")]).unwrap();
        let config = config(example, site);
        assert_eq!(config.data_centres[&node.data_centre].region, node.region, "{example}");
        assert!(node.membership.seeds.contains(&node.peer), "{example}");
    }
}

#[test]
fn the_vm_lists_hold_18_model_servers_and_4_plain_ones_for_every_service() {
    for (example, site) in &SITES[1..] {
        let config = config(example, site);
        let vms: Vec<Vm> = serde_json::from_str(&source(example, "vms.json").text).unwrap();
        let count = |role: VmRole| vms.iter().filter(|vm| vm.role == role).count();
        assert_eq!((count(VmRole::Model), count(VmRole::Plain)), (18, 4), "{example}");
        let names: BTreeSet<_> = vms.iter().map(|vm| &vm.name).collect();
        let addresses: BTreeSet<_> = vms.iter().map(|vm| vm.address).collect();
        assert_eq!((names.len(), addresses.len()), (22, 22), "{example}");
        let data_centres: BTreeSet<_> = vms.iter().map(|vm| &vm.data_centre).collect();
        assert!(data_centres.into_iter().eq(config.data_centres.keys()), "{example}");
        for (name, service) in &config.services {
            let served = if service.model.is_empty() { name } else { &service.model };
            assert!(vms.iter().any(|vm| vm.serves.contains(served)), "{example}: {name}");
        }
    }
}
