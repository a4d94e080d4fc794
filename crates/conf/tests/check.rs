//! Settings are checked whole: each mistake with its place, at once.

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
fn an_overlay_replaces_single_keys() {
    let overlay = Source::new("site.ini", "[service recall]\nfirst_token = 200ms\n");
    let config = read(&[Source::new("base.ini", BASE), overlay]).unwrap();
    assert_eq!(config.services["recall"].first_token, Duration::from_millis(200));
    assert_eq!(config.services["recall"].model, "small");
}

#[test]
fn all_mistakes_are_reported_at_once_with_file_line_key_unit_and_value() {
    let overlay = "[service recall]\nfirst_token = soon\ncolour = red\n[service reminder]\nrepeatable = perhaps\n";
    let mistakes =
        read(&[Source::new("base.ini", BASE), Source::new("site.ini", overlay)]).unwrap_err();
    let text = mistakes.to_string();
    assert_eq!(mistakes.iter().count(), 3, "{text}");
    assert!(text.contains("site.ini:2: first_token: expected a duration"), "{text}");
    assert!(text.contains("site.ini:3: colour: expected one of the keys"), "{text}");
    assert!(
        text.contains("site.ini:5: repeatable: expected yes or no, found \"perhaps\""),
        "{text}"
    );
}

#[test]
fn a_repeated_key_is_a_mistake() {
    let mistakes = read(&[Source::new("base.ini", format!("{BASE}kind = model\n"))]).unwrap_err();
    assert!(mistakes.to_string().contains("base.ini:15: kind"), "{mistakes}");
}

#[test]
fn a_service_of_an_unknown_model_is_a_mistake() {
    let overlay = Source::new("site.ini", "[service recall]\nmodel = large\n");
    let mistakes = read(&[Source::new("base.ini", BASE), overlay]).unwrap_err();
    assert!(mistakes.to_string().contains("site.ini:2: model"), "{mistakes}");
}

#[test]
fn a_body_reads_back_as_the_same_configuration() {
    let merged = Merged::read(&[Source::new("base.ini", BASE)]).unwrap();
    let config = Config::read(&merged).unwrap();
    assert_eq!(Body::new(&merged).config().unwrap(), config);
}

#[test]
fn a_node_needs_its_name_and_addresses() {
    let mistakes =
        Node::read(&[Source::new("node.ini", "[node]\nname = a.b\nhttp = here\n")]).unwrap_err();
    let text = mistakes.to_string();
    for key in ["name", "data_centre", "http", "peer", "kv", "vm_list"] {
        assert!(text.contains(&format!(": {key}: ")), "{key} in {text}");
    }
}

#[test]
fn spaces_within_the_name_of_a_section_do_not_make_another_section() {
    let overlay = Source::new("site.ini", "[service   recall]\nfirst_token = 200ms\n");
    let config = read(&[Source::new("base.ini", BASE), overlay]).unwrap();
    assert_eq!(config.services["recall"].first_token, Duration::from_millis(200));
    let unknown = Source::new("site.ini", "[service  recall]\nmodel = large\n");
    let mistakes = read(&[Source::new("base.ini", BASE), unknown]).unwrap_err();
    assert!(mistakes.to_string().contains("site.ini:2: model"), "{mistakes}");
}
