//! Validation reports all errors of the settings at once, each with its location.

use conf::{Body, Config, Merged, Node, Source};
use std::time::Duration;

const BASE: &str = "\
[deployment]
name = trial
[data_centre north]
region = coast
[organisation friends]
requests_per_s = 50
[model small]
version = 1
[service recall]
kind = model
model = small
first_token = 350ms
[service reminder]
kind = plain
";

fn read(sources: &[Source]) -> Result<Config, conf::ConfigErrors> {
    Config::read(&Merged::read(sources)?)
}

#[test]
fn overlay_replaces_individual_keys() {
    let overlay = Source::new("site.ini", "[service recall]\nfirst_token = 200ms\n");
    let config = read(&[Source::new("base.ini", BASE), overlay]).unwrap();
    assert_eq!(config.services["recall"].first_token, Duration::from_millis(200));
    assert_eq!(config.services["recall"].model, "small");
}

#[test]
fn all_errors_are_reported_with_file_line_key_unit_and_value() {
    let overlay = "[service recall]\nfirst_token = soon\ncolour = red\n[service reminder]\nrepeatable = perhaps\n";
    let errors =
        read(&[Source::new("base.ini", BASE), Source::new("site.ini", overlay)]).unwrap_err();
    let text = errors.to_string();
    assert_eq!(errors.iter().count(), 3, "{text}");
    assert!(text.contains("site.ini:2: first_token: expected a duration"), "{text}");
    assert!(text.contains("site.ini:3: colour: expected one of the keys"), "{text}");
    assert!(
        text.contains("site.ini:5: repeatable: expected yes or no, found \"perhaps\""),
        "{text}"
    );
}

#[test]
fn duplicate_key_is_an_error() {
    let errors = read(&[Source::new("base.ini", format!("{BASE}kind = model\n"))]).unwrap_err();
    assert!(errors.to_string().contains("base.ini:15: kind"), "{errors}");
}

#[test]
fn service_with_an_unknown_model_is_an_error() {
    let overlay = Source::new("site.ini", "[service recall]\nmodel = large\n");
    let errors = read(&[Source::new("base.ini", BASE), overlay]).unwrap_err();
    assert!(errors.to_string().contains("site.ini:2: model"), "{errors}");
}

#[test]
fn stored_body_parses_to_the_same_configuration() {
    let merged = Merged::read(&[Source::new("base.ini", BASE)]).unwrap();
    let config = Config::read(&merged).unwrap();
    assert_eq!(Body::new(&merged).config().unwrap(), config);
}

#[test]
fn node_requires_a_name_and_addresses() {
    let errors =
        Node::read(&[Source::new("node.ini", "[node]\nname = a.b\nhttp = here\n")]).unwrap_err();
    let text = errors.to_string();
    for key in ["name", "data_centre", "http", "peer", "kv", "vm_list"] {
        assert!(text.contains(&format!(": {key}: ")), "{key} in {text}");
    }
}

#[test]
fn section_names_are_compared_regardless_of_spacing() {
    let overlay = Source::new("site.ini", "[service   recall]\nfirst_token = 200ms\n");
    let config = read(&[Source::new("base.ini", BASE), overlay]).unwrap();
    assert_eq!(config.services["recall"].first_token, Duration::from_millis(200));
    let unknown = Source::new("site.ini", "[service  recall]\nmodel = large\n");
    let errors = read(&[Source::new("base.ini", BASE), unknown]).unwrap_err();
    assert!(errors.to_string().contains("site.ini:2: model"), "{errors}");
}
