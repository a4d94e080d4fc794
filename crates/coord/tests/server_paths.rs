//! Whether an entry finds out that its own path to the servers is cut.

use coord::{Path, PathSettings, ServerPaths};
use kernel::{Millis, Name};

/// Number of servers of the service.
const SERVERS: usize = 6;

fn service() -> Name {
    Name::from("pool")
}

/// Paths of an entry that reached a server at 1,000 ms.
fn paths() -> ServerPaths {
    let mut paths = ServerPaths::new(PathSettings::default());
    paths.record_connected(&service(), &"i-5".into(), 1_000);
    paths
}

/// Fails a connection to each of these servers, tried from `began` on.
fn fail(paths: &mut ServerPaths, servers: std::ops::Range<usize>, began: Millis) {
    for number in servers {
        paths.record_unreachable(&service(), &Name::from(format!("i-{number}")), began);
    }
}

/// Returns the path at `now` if other entries last reached a server at `others`.
fn path(paths: &mut ServerPaths, others: Option<Millis>, now: Millis) -> Path {
    paths.update(&service(), SERVERS, others, now);
    paths.path(&service())
}

#[test]
fn a_cut_path_is_told_by_two_failures_if_only_others_reach_servers() {
    let mut paths = paths();
    fail(&mut paths, 0..1, 1_100);
    assert_eq!(path(&mut paths, Some(1_200), 1_400), Path::Direct);
    fail(&mut paths, 0..2, 1_150);
    assert_eq!(path(&mut paths, Some(1_200), 1_400), Path::ThroughEntries);
}

#[test]
fn a_few_servers_that_are_gone_do_not_cut_the_path_while_others_answer() {
    let mut paths = paths();
    fail(&mut paths, 0..3, 1_100);
    paths.record_answer(&service(), 1_150);
    assert_eq!(path(&mut paths, Some(1_200), 1_400), Path::Direct);
}

#[test]
fn refused_connections_cut_the_path_although_open_ones_answer() {
    let mut paths = paths();
    fail(&mut paths, 0..4, 1_100);
    paths.record_answer(&service(), 1_390);
    assert_eq!(path(&mut paths, Some(1_300), 1_400), Path::ThroughEntries);
}

#[test]
fn failures_of_servers_that_nobody_reaches_cut_no_path_until_all_fail() {
    let mut paths = paths();
    fail(&mut paths, 0..SERVERS - 1, 4_500);
    assert_eq!(path(&mut paths, Some(1_000), 5_000), Path::Direct);
    fail(&mut paths, 0..SERVERS, 4_700);
    assert_eq!(path(&mut paths, Some(1_000), 5_000), Path::Nowhere);
    assert_eq!(path(&mut paths, Some(5_050), 5_100), Path::ThroughEntries);
}

#[test]
fn a_new_connection_shows_that_the_path_is_whole_again() {
    let mut paths = paths();
    fail(&mut paths, 0..SERVERS, 1_100);
    assert_eq!(path(&mut paths, Some(1_300), 1_400), Path::ThroughEntries);
    paths.record_connected(&service(), &"i-5".into(), 3_000);
    assert_eq!(path(&mut paths, Some(2_900), 3_000), Path::Direct);
    // The end of attempts from before says nothing new.
    fail(&mut paths, 0..SERVERS, 2_800);
    assert_eq!(path(&mut paths, Some(3_000), 3_100), Path::Direct);
}

#[test]
fn what_others_reached_before_the_failures_counts_only_until_their_news_must_have_come() {
    let mut paths = paths();
    fail(&mut paths, 0..SERVERS, 1_100);
    assert_eq!(path(&mut paths, Some(1_050), 1_110), Path::ThroughEntries);
    assert_eq!(path(&mut paths, Some(1_050), 1_700), Path::Nowhere);
}

#[test]
fn requests_go_directly_again_little_by_little_after_a_cut() {
    let mut paths = paths();
    fail(&mut paths, 0..SERVERS, 1_100);
    path(&mut paths, Some(1_300), 1_400);
    paths.record_connected(&service(), &"i-5".into(), 3_000);
    path(&mut paths, Some(2_900), 3_000);
    let direct = |now| {
        let randoms = (0..100).map(|number| f64::from(number) / 100.0);
        let path = |random| paths.path_of_request(&service(), random, now);
        randoms.filter(|random| path(*random) == Path::Direct).count()
    };
    assert_eq!([direct(3_000), direct(3_250), direct(4_000)], [0, 25, 100]);
}

// Guards against one connection that was accepted while a path was being cut, which made all other servers count as
// crashed.
#[test]
fn a_path_is_whole_only_if_a_server_is_reached_after_the_connections_of_a_cut_have_broken() {
    let settle_ms = PathSettings::default().settle_ms;
    let mut paths = paths();
    let broke_at = 1_100;
    fail(&mut paths, 0..3, broke_at);
    assert!(!paths.is_whole_after(&service(), broke_at));
    paths.record_connected(&service(), &"i-5".into(), broke_at + settle_ms);
    assert!(!paths.is_whole_after(&service(), broke_at));
    paths.record_answer(&service(), broke_at + settle_ms + 1);
    assert!(paths.is_whole_after(&service(), broke_at));
}

// Against a path that was taken for cut again and again, by requests that tried servers that had crashed.
#[test]
fn servers_that_have_ended_cut_no_path() {
    let mut paths = paths();
    fail(&mut paths, 0..2, 1_100);
    assert_eq!(path(&mut paths, Some(1_200), 1_400), Path::ThroughEntries);
    paths.record_ended(&service(), &"i-0".into());
    paths.record_ended(&service(), &"i-1".into());
    assert_eq!(path(&mut paths, Some(1_200), 1_400), Path::Direct);
    fail(&mut paths, 0..2, 1_500);
    assert_eq!(path(&mut paths, Some(1_600), 1_700), Path::Direct);
    fail(&mut paths, 2..4, 1_700);
    assert_eq!(path(&mut paths, Some(1_800), 1_900), Path::ThroughEntries, "others still count");
}

#[test]
fn a_server_that_ended_counts_again_once_it_runs() {
    let runs_again: [fn(&mut ServerPaths, &Name); 3] = [
        |paths, server| paths.record_connected(&service(), server, 1_300),
        |paths, server| paths.record_registered(&service(), server),
        |paths, server| paths.remove_server(&service(), server),
    ];
    for run_again in runs_again {
        let mut paths = paths();
        for server in ["i-0", "i-1"].map(Name::from) {
            paths.record_ended(&service(), &server);
            run_again(&mut paths, &server);
        }
        fail(&mut paths, 0..2, 1_500);
        assert_eq!(path(&mut paths, Some(1_600), 1_700), Path::ThroughEntries);
    }
}

#[test]
fn requests_go_nowhere_if_all_servers_fail_that_have_not_ended() {
    let mut paths = paths();
    paths.record_ended(&service(), &"i-0".into());
    fail(&mut paths, 0..SERVERS, 1_500);
    let change = paths.update(&service(), SERVERS - 1, None, 2_100);
    assert_eq!(change.map(|change| change.path), Some(Path::Nowhere));
}

// Against requests that were refused without a try while servers stayed that had not failed: those that ended were taken
// off the staying ones, although they had been leaving.
#[test]
fn leaving_servers_that_ended_are_not_taken_off_the_staying_ones() {
    let mut paths = paths();
    paths.record_ended(&service(), &"leaving-0".into());
    paths.record_ended(&service(), &"leaving-1".into());
    fail(&mut paths, 0..SERVERS - 1, 1_500);
    assert_eq!(path(&mut paths, None, 2_100), Path::Direct);
}
