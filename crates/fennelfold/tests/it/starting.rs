//! An entry that cannot start says why; one without a platform starts and waits.

use crate::support::{Deployment, Settings, err, eventually, fennelfold, host, out, start_entry};
use hyper::Method;
use std::net::{SocketAddr, TcpListener};

#[tokio::test]
async fn an_unreadable_settings_file_is_a_numbered_failure() {
    for file in ["/no/such/node.ini", "/"] {
        let failed = fennelfold(&["entry", "--settings", file]).await;
        assert_eq!(failed.status.code(), Some(2));
        assert!(err(&failed).contains("FF-5001") && err(&failed).contains(file), "{failed:?}");
    }
    let deployment = Deployment::platform_only(&Settings::default()).await;
    let file = deployment.directory.join("binary.ini");
    std::fs::write(&file, [0xff, 0xfe, 0x00]).unwrap();
    let failed = fennelfold(&["entry", "--settings", file.to_str().unwrap()]).await;
    assert!(err(&failed).contains("FF-5001"), "{failed:?}");
}

#[tokio::test]
async fn all_mistakes_in_the_settings_are_told_at_once() {
    let deployment = Deployment::platform_only(&Settings::default()).await;
    let text =
        "[node]\nname = a b\nhttp = here\npeer = 127.0.0.1:1\ncolour = red\n[plattform]\nkv = x\n";
    let file = deployment.write("node.ini", text);
    let failed = fennelfold(&["entry", "--settings", &file]).await;
    assert_eq!(failed.status.code(), Some(2));
    for place in [":2: name", ":3: http", ":5: colour", ":6: plattform", "data_centre", "vm_list"] {
        assert!(err(&failed).contains(place), "{place} in {}", err(&failed));
    }
}

#[tokio::test]
async fn a_port_in_use_is_a_numbered_failure() {
    let deployment = Deployment::platform_only(&Settings::default()).await;
    let taken = TcpListener::bind(SocketAddr::new(host(), 0)).unwrap();
    let taken = taken.local_addr().map(|address| (address, taken)).unwrap();
    let free = SocketAddr::new(host(), 7101);
    for (http, peer) in [(taken.0, free), (free, taken.0)] {
        let text = settings(http, peer, SocketAddr::new(host(), 9));
        let file = deployment.write("node.ini", &text);
        let failed = fennelfold(&["entry", "--settings", &file]).await;
        assert_eq!(failed.status.code(), Some(9), "{failed:?}");
        assert!(
            err(&failed)
                .contains(&format!("FF-5002: the address cannot be listened on: {}", taken.0)),
            "{failed:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_a_platform_starts_and_tells_why_it_is_not_ready() {
    let deployment = Deployment::platform_only(&Settings::default()).await;
    let (http, peer) = (SocketAddr::new(host(), 7101), SocketAddr::new(host(), 7102));
    let platform = SocketAddr::new(host(), 9);
    let file = deployment.write("node.ini", &settings(http, peer, platform));
    let mut entry = start_entry("alone", http, &file);
    let get = async |path: &str| {
        let url = format!("http://{http}{path}");
        let client = crate::support::client();
        let answer = client.send(Method::GET, &url, &[], Default::default()).await.ok()?;
        let status = answer.status().as_u16();
        let body = web::read_limited(answer.into_body(), 1 << 20).await.ok()?;
        Some((status, String::from_utf8(body.to_vec()).unwrap()))
    };
    eventually("it tells why", async || {
        let ready = get("/readyz").await;
        ready.is_some_and(|(status, text)| {
            status == 503 && text.contains("no configuration") && text.contains("unreachable")
        })
    })
    .await;
    assert_eq!(get("/healthz").await, Some((200, "ok\n".to_owned())));
    let (status, text) = get("/v1/entries").await.unwrap();
    assert_eq!(status, 503);
    assert!(text.contains("\"code\":2005"), "{text}");
    entry.terminate();
    assert_eq!(entry.exit_code().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_serve_once_a_configuration_is_applied_and_not_before() {
    let deployment = Deployment::without_configuration(Settings::default()).await;
    let ready = deployment.send(0, Method::GET, "/readyz", &[], "").await;
    assert_eq!(ready.status(), 503);
    let base = deployment.write("base.ini", crate::support::BASE);
    let applied = deployment.run(&["config", "apply", "--base", &base]).await;
    assert!(out(&applied).contains("in force at 3 of 3 entries"), "{applied:?}");
    for n in 0..3 {
        assert_eq!(deployment.send(n, Method::GET, "/readyz", &[], "").await.status(), 200);
    }
}

fn settings(http: SocketAddr, peer: SocketAddr, platform: SocketAddr) -> String {
    format!(
        "[node]\nname = alone\ndata_centre = north\nregion = coast\nhttp = {http}\npeer = {peer}\n\
         [platform]\nkv = {platform}\nvm_list = {platform}\ncloud = {platform}\ntimeout = 1s\n"
    )
}
