//! Operators drive the deployment by its configuration.

use crate::support::{BASE, Deployment, Settings, err, eventually, out};

const CHANGE: &str = "[service recall]\ndeadline = 45s\n";

#[tokio::test(flavor = "multi_thread")]
async fn an_applied_change_is_shown_compared_and_kept_in_the_history() {
    let deployment = Deployment::start(Settings::default()).await;
    let base = deployment.write("base.ini", BASE);
    let site = deployment.write("site.ini", CHANGE);
    let files = ["--base", &base, "--site", &site];

    let diff = deployment.run(&[&["config", "diff"][..], &files].concat()).await;
    assert_eq!(
        out(&diff),
        "- [service recall] deadline = 60s\n+ [service recall] deadline = 45s\n"
    );
    let apply = [&["config", "apply", "--author", "mira"][..], &files].concat();
    let applied = deployment.run(&apply).await;
    let printed = out(&applied);
    assert!(printed.contains("accepted as generation 2"), "{printed}{}", err(&applied));
    assert!(printed.contains("in force at 3 of 3 entries"), "{printed}");

    let shown = out(&deployment.run(&["config", "show"]).await);
    assert!(shown.starts_with("# generation 2 by mira\n"), "{shown}");
    assert!(shown.contains("deadline = 45s"), "{shown}");
    let again = deployment.run(&[&["config", "diff"][..], &files].concat()).await;
    assert_eq!(out(&again), "");
    let history = out(&deployment.run(&["config", "history"]).await);
    let lines: Vec<&str> = history.lines().collect();
    assert_eq!(lines.len(), 2, "{history}");
    assert!(lines[0].starts_with("1 ") && lines[0].contains(" operator "), "{history}");
    assert!(lines[1].starts_with("2 ") && lines[1].contains(" mira "), "{history}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_based_on_an_older_generation_is_refused_and_changes_nothing() {
    let deployment = Deployment::start(Settings::default()).await;
    let base = deployment.write("base.ini", BASE);
    let site = deployment.write("site.ini", CHANGE);
    let args = ["config", "apply", "--base", &base, "--site", &site, "--based-on", "0"];
    let refused = deployment.run(&args).await;
    assert_eq!(refused.status.code(), Some(6), "{}", err(&refused));
    assert!(err(&refused).contains("FF-4002"), "{}", err(&refused));
    let shown = out(&deployment.run(&["config", "show"]).await);
    assert!(shown.starts_with("# generation 1 ") && shown.contains("deadline = 60s"), "{shown}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_offer_sent_again_is_accepted_once() {
    let deployment = Deployment::start(Settings::default()).await;
    let base = deployment.write("base.ini", BASE);
    let site = deployment.write("site.ini", CHANGE);
    let args =
        ["config", "apply", "--base", &base, "--site", &site, "--based-on", "1", "--nonce", "n-1"];
    for _ in 0..2 {
        let applied = deployment.run(&args).await;
        assert!(out(&applied).contains("accepted as generation 2"), "{applied:?}");
    }
    assert_eq!(out(&deployment.run(&["config", "history"]).await).lines().count(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_accepted_although_the_answer_to_its_write_is_lost() {
    let deployment = Deployment::start(Settings::default()).await;
    let base = deployment.write("base.ini", BASE);
    let site = deployment.write("site.ini", CHANGE);
    let args =
        ["config", "apply", "--base", &base, "--site", &site, "--based-on", "1", "--nonce", "n-2"];
    // The history and the body are written first; their answers are lost as well.
    deployment.kv.set_faults(standin::kv::Faults { lose_answers: 3, ..Default::default() });
    eventually("the offer is settled", async || {
        out(&deployment.run(&args).await).contains("accepted as generation 2")
    })
    .await;
    assert_eq!(out(&deployment.run(&["config", "history"]).await).lines().count(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn mistakes_are_refused_with_file_line_and_key_before_anything_is_sent() {
    let deployment = Deployment::start(Settings::default()).await;
    let base = deployment.write("base.ini", BASE);
    let site = deployment.write("site.ini", "[service recall]\ndeadline = soon\ncolour = red\n");
    let refused = deployment.run(&["config", "apply", "--base", &base, "--site", &site]).await;
    assert_eq!(refused.status.code(), Some(5));
    let text = err(&refused);
    assert!(text.contains("FF-4001"), "{text}");
    assert!(text.contains("site.ini:2: deadline: expected a duration"), "{text}");
    assert!(text.contains("site.ini:3: colour: expected one of the keys"), "{text}");
    assert_eq!(deployment.status(0).await.unwrap()["generation"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_later_takes_the_configuration_in_force() {
    let mut deployment = Deployment::start(Settings::default()).await;
    let late = deployment.start_entry(3);
    deployment.entries.push(late);
    eventually("the late entry is ready", async || {
        deployment.status(3).await.is_some_and(|status| status["ready"] == "yes")
    })
    .await;
    assert_eq!(deployment.status(3).await.unwrap()["generation"], 1);
}
