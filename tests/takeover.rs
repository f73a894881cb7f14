//! Takeover between two processes of one instance, which share the configuration and `$TMPDIR` and have separate admin
//! addresses. No test depends on timing: each step waits for its condition.
#![cfg(unix)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Time limit of each wait, far longer than any step takes, so that only a hang reaches the limit.
const HANG: Duration = Duration::from_secs(60);

/// A temporary directory that is removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("larchdale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempDir(path)
    }

    /// Returns the only file with an extension, if there is one.
    fn file(&self, extension: &str) -> Option<PathBuf> {
        let files = std::fs::read_dir(&self.0).unwrap().map(|f| f.unwrap().path());
        let mut found: Vec<PathBuf> =
            files.filter(|f| f.extension().is_some_and(|e| e == extension)).collect();
        assert!(found.len() <= 1, "{found:?}");
        found.pop()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns an unused address: in a loopback network specific to this test process, with a port outside the range of
/// ephemeral ports.
fn unused_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let run = std::process::id();
    format!("127.{}.{}.{}:9090", 1 + run % 250, run / 250 % 250, NEXT.fetch_add(1, Ordering::Relaxed))
}

struct Process {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
    admin_address: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command(temp_dir: &Path, listen: &str, admin_address: &str) -> Command {
    command_with(temp_dir, listen, admin_address, |_| {})
}

fn command_with(
    temp_dir: &Path,
    listen: &str,
    admin_address: &str,
    change: impl FnOnce(&mut serde_json::Value),
) -> Command {
    let mut config: serde_json::Value =
        serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    config["listen"] = listen.into();
    config["channel"] = "127.0.0.1:9".into();
    change(&mut config);
    let path = temp_dir.join("config");
    std::fs::write(&path, config.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_larchdale"));
    command
        .env("PROXY_CONFIG", path)
        .env("PROXY_MANAGEMENT", admin_address)
        .env("TMPDIR", temp_dir)
        .stderr(Stdio::piped());
    command
}

/// Starts a process and waits until it listens.
fn start(temp_dir: &Path, listen: &str) -> Process {
    start_with(temp_dir, listen, |_| {})
}

fn start_with(temp_dir: &Path, listen: &str, change: impl FnOnce(&mut serde_json::Value)) -> Process {
    let admin_address = unused_address();
    let mut child = command_with(temp_dir, listen, &admin_address, change).spawn().unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    let mut process = Process { child, log, admin_address };
    process.logs("listening");
    process
}

impl Process {
    fn logs(&mut self, text: &str) {
        let found = self.log.by_ref().lines().any(|l| l.unwrap().contains(text));
        assert!(found, "never logged: {text}");
    }

    fn call(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(&self.admin_address).unwrap();
        stream.set_read_timeout(Some(HANG)).unwrap();
        writeln!(stream, "{line}").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Waits until all threads are stopped: a process that isn't scheduled yet may still handle a signal with a lower
    /// number first.
    fn wait_until_stopped(&self) {
        let tasks = format!("/proc/{}/task", self.child.id());
        let is_stopped = |task: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap();
            stat.rsplit_once(") ").unwrap().1.starts_with('T')
        };
        let began = std::time::Instant::now();
        while !std::fs::read_dir(&tasks).unwrap().map(Result::unwrap).all(is_stopped) {
            assert!(began.elapsed() < HANG, "not stopped");
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
    }

    fn end(&mut self) -> ExitStatus {
        self.signal("-TERM");
        self.child.wait().unwrap()
    }
}

/// Returns the status of a health check on a new connection; 20 means ready.
fn health_status(listen: &str) -> u8 {
    read_health_status(send_health_check(listen))
}

/// Opens a connection and sends a health check on it.
fn send_health_check(listen: &str) -> TcpStream {
    let mut client = TcpStream::connect(listen).unwrap();
    client.set_read_timeout(Some(HANG)).unwrap();
    client.write_all(&[0, 0, 0, 6, 1, 0, 0, 0, 9, 0]).unwrap();
    client
}

fn read_health_status(mut client: TcpStream) -> u8 {
    let mut answer = [0; 11];
    client.read_exact(&mut answer).unwrap();
    answer[9]
}

#[test]
fn each_new_process_takes_over_the_listener_without_resetting_connections() {
    let (temp_dir, listen) = (TempDir::new("takes-over"), unused_address());
    let mut first = start(&temp_dir.0, &listen);
    // A connected client is told to go away and isn't reset.
    let mut kept = TcpStream::connect(&listen).unwrap();
    kept.set_read_timeout(Some(HANG)).unwrap();
    kept.write_all(&[0, 0, 0, 6, 1, 0, 0, 0, 9, 0]).unwrap();
    kept.read_exact(&mut [0; 11]).unwrap();
    let mut second = start(&temp_dir.0, &listen);
    first.logs("another process takes over");
    assert_eq!(second.call("status"), "done serving\n");
    let mut leaving = [0; 9];
    kept.read_exact(&mut leaving).unwrap();
    assert_eq!(leaving[4], 3);
    assert!(first.call("status").starts_with("error"), "the replaced process accepts no more clients");
    assert!(first.call("standby").starts_with("error replaced"));
    assert!(temp_dir.file("state").is_some() && temp_dir.file("sock").is_some());
    // While both processes run, both reload on SIGHUP, and the serving one can go to standby and back.
    for process in [&first, &second] {
        process.signal("-HUP");
        let has_reloaded = || process.call("stats").contains("proxy_reload_success_total 1\n");
        assert!((0..1_000).any(|_| has_reloaded()), "no reload after SIGHUP");
    }
    assert_eq!(second.call("standby"), "done standby\n");
    assert_ne!(health_status(&listen), 20);
    assert_eq!(second.call("active"), "done serving\n");
    assert_eq!(health_status(&listen), 20);
    // The second process responds on all connections that were waiting while the first one ended.
    let waiting: Vec<_> = (0..50).map(|_| TcpStream::connect(&listen).unwrap()).collect();
    assert_eq!(first.end().code(), Some(0));
    assert_eq!(kept.read(&mut [0]).unwrap(), 0, "closed, not reset");
    for mut client in waiting {
        client.set_read_timeout(Some(HANG)).unwrap();
        client.write_all(&[0, 0, 0, 6, 1, 0, 0, 0, 9, 0]).unwrap();
        let mut answer = [0; 11];
        client.read_exact(&mut answer).unwrap();
        assert_eq!(answer[9], 20);
    }
    second.logs("the process before has ended");
    let mut third = start(&temp_dir.0, &listen);
    assert_eq!(second.end().code(), Some(0));
    assert_eq!((third.call("status").as_str(), health_status(&listen)), ("done serving\n", 20));
    assert_eq!(third.end().code(), Some(0));
}

#[test]
fn after_its_successor_dies_a_process_serves_again_and_a_third_process_is_refused_during_takeover() {
    let (temp_dir, listen) = (TempDir::new("dies"), unused_address());
    let mut first = start(&temp_dir.0, &listen);
    // A successor that sends only the hello for now.
    let mut successor = UnixStream::connect(temp_dir.file("sock").unwrap()).unwrap();
    let hello =
        format!("{{\"hello\":{{\"version\":1,\"who\":{{\"name\":\"example\",\"listen\":\"{listen}\"}}}}}}\n");
    successor.write_all(hello.as_bytes()).unwrap();
    first.logs("another process takes over");
    assert_eq!(first.call("status"), "done serving\n", "serving until the successor serves");
    let output = command(&temp_dir.0, &listen, &unused_address()).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && text.lines().count() == 1 && text.contains("one at a time"),
        "{text}"
    );
    successor.write_all(b"{\"serving\":{\"shared\":true}}\n").unwrap();
    let replaced = (0..1_000).any(|_| first.call("status").starts_with("error"));
    assert!(replaced, "the replaced process still accepts clients");
    // By now the socket file belongs to the successor, and no process listens on it once the successor has died.
    let socket_path = temp_dir.file("sock").unwrap();
    std::fs::remove_file(&socket_path).unwrap();
    drop(std::os::unix::net::UnixListener::bind(&socket_path).unwrap());
    drop(successor);
    first.logs("the successor has ended");
    assert_eq!((first.call("status").as_str(), health_status(&listen)), ("done serving\n", 20));
    // A new process finds the first one by the socket file again.
    let second = start(&temp_dir.0, &listen);
    assert_eq!(second.call("status"), "done serving\n");
    let replaced = (0..1_000).any(|_| first.call("status").starts_with("error"));
    assert!(replaced, "the second process hasn't taken over from the first");
    assert_eq!(first.end().code(), Some(0));
}

#[test]
fn stale_or_foreign_socket_and_state_files_do_not_prevent_a_start() {
    let (temp_dir, listen) = (TempDir::new("left"), unused_address());
    let mut first = start(&temp_dir.0, &listen);
    first.signal("-KILL");
    first.child.wait().unwrap();
    let socket_path = temp_dir.file("sock").expect("a killed process leaves its socket file");
    let mut second = start(&temp_dir.0, &listen);
    assert_eq!(second.call("status"), "done serving\n");
    assert_eq!(second.end().code(), Some(0));
    // A regular file in place of the socket doesn't prevent a start either.
    std::fs::remove_file(&socket_path).unwrap();
    std::fs::write(&socket_path, "no socket").unwrap();
    let mut third = start(&temp_dir.0, &listen);
    assert_eq!(third.call("status"), "done serving\n");
    // A corrupt state file is ignored, and the listener is handed over nevertheless.
    std::fs::write(socket_path.with_extension("state"), "larchdale-state 1 00000000\n{}").unwrap();
    let fourth = start(&temp_dir.0, &listen);
    assert_eq!(fourth.call("status"), "done serving\n");
    assert_eq!(third.end().code(), Some(0));
    drop(fourth);
    std::fs::remove_file(&socket_path).unwrap();
    // A foreign process that sends an invalid greeting doesn't prevent a start either.
    let foreign = std::os::unix::net::UnixListener::bind(&socket_path).unwrap();
    let answering = std::thread::spawn(move || foreign.accept().unwrap().0.write_all(b"220 ready\n"));
    let fifth = start(&temp_dir.0, &listen);
    answering.join().unwrap().unwrap();
    assert_eq!((fifth.call("status").as_str(), health_status(&listen)), ("done serving\n", 20));
}

#[test]
fn with_an_unusable_temporary_directory_processes_serve_without_handover() {
    let (temp_dir, listen) = (TempDir::new("unusable"), unused_address());
    let missing = temp_dir.0.join("not/there");
    let mut running = Vec::new();
    for _ in 0..2 {
        // Both processes serve side by side, since they share the address.
        let admin_address = unused_address();
        let mut child =
            command(&temp_dir.0, &listen, &admin_address).env("TMPDIR", &missing).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let mut process = Process { child, log, admin_address };
        process.logs("a successor will not find this process");
        assert_eq!(process.call("status"), "done serving\n");
        running.push(process);
    }
    for mut process in running {
        assert_eq!(process.end().code(), Some(0));
    }
}

#[test]
fn a_start_with_a_used_or_invalid_admin_address_fails_with_one_line() {
    let temp_dir = TempDir::new("door");
    let taken = TcpListener::bind(unused_address()).unwrap();
    for (admin_address, named) in
        [(taken.local_addr().unwrap().to_string(), "admin endpoint"), ("door".into(), "PROXY_MANAGEMENT")]
    {
        let output = command(&temp_dir.0, &unused_address(), &admin_address).output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        // An error that may be temporary is retried, which is logged once.
        let (retries, errors): (Vec<&str>, Vec<&str>) =
            text.lines().partition(|l| l.contains("trying again"));
        assert!(
            !output.status.success() && retries.len() <= usize::from(named == "admin endpoint"),
            "{text}"
        );
        assert!(
            matches!(errors[..], [error] if error.contains(named) && error.contains(&admin_address)),
            "{text}"
        );
    }
}

fn without_endpoints(config: &mut serde_json::Value) {
    config["known"] = serde_json::json!({"cursor": 0, "cmds": []});
}

/// Guards against a second process that accepts connections before it has an endpoint list: health checks and clients
/// were told that the instance wasn't ready while the first process was.
#[test]
fn a_second_process_accepts_no_connections_until_it_serves_or_the_first_has_ended() {
    let (temp_dir, listen) = (TempDir::new("no-list"), unused_address());
    let mut first = start(&temp_dir.0, &listen);
    let mut second = start_with(&temp_dir.0, &listen, without_endpoints);
    first.logs("another process takes over");
    // While the first process is stopped, only the second could accept the connection; the calls give it several turns
    // of its event loop to do so.
    first.signal("-STOP");
    let waiting = send_health_check(&listen);
    for _ in 0..3 {
        assert_eq!(second.call("status"), "error not serving: starting\n");
    }
    first.signal("-CONT");
    assert_eq!(read_health_status(waiting), 20);
    // The first process ends before the second serves: only the second can accept connections now.
    assert_eq!(first.end().code(), Some(0));
    second.logs("the process before has ended");
    assert_ne!(health_status(&listen), 20);
    assert_eq!(second.end().code(), Some(0));
}

/// A stopped process finds all signals in one turn of its event loop once it continues: it reloads its configuration
/// once, before it shuts down.
#[test]
fn signals_that_arrive_together_cause_one_reload_and_then_one_shutdown() {
    let (temp_dir, listen) = (TempDir::new("signals"), unused_address());
    let mut process = start(&temp_dir.0, &listen);
    process.signal("-STOP");
    process.wait_until_stopped();
    for signal in ["-HUP", "-HUP", "-TERM", "-TERM", "-CONT"] {
        process.signal(signal);
    }
    assert_eq!(process.child.wait().unwrap().code(), Some(0));
    let lines: Vec<String> = process.log.by_ref().lines().map(Result::unwrap).collect();
    let positions = |text: &str| -> Vec<usize> {
        lines.iter().enumerate().filter(|l| l.1.contains(text)).map(|l| l.0).collect()
    };
    let (reloads, shutdowns) = (positions("configuration reloaded"), positions("shutdown requested"));
    assert!(reloads.len() == 1 && shutdowns.len() == 1 && reloads < shutdowns, "{lines:?}");
}

/// Returns the program that `LARCHDALE_PREVIOUS_PROGRAM` names, else the current one. Takeovers must work from the
/// previous version to the current one and back.
fn previous_program() -> PathBuf {
    std::env::var_os("LARCHDALE_PREVIOUS_PROGRAM")
        .map_or(env!("CARGO_BIN_EXE_larchdale").into(), PathBuf::from)
}

/// Adds a purge that stays in force for far longer than the test takes.
fn with_a_purge(config: &mut serde_json::Value) {
    let now_ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    let purge = serde_json::json!({"cursor": 2, "drop": {"family": 17, "when": now_ms}});
    config["known"]["cmds"].as_array_mut().unwrap().push(purge);
    config["known"]["cursor"] = 2.into();
    config["settings"]["domain"]["purge-done-us"] = 600_000_000.into();
}

/// Starts a process of a program and waits until it listens; returns also its log up to then.
fn start_program(program: &Path, temp_dir: &Path, listen: &str) -> (Process, Vec<String>) {
    let admin_address = unused_address();
    let as_configured = command_with(temp_dir, listen, &admin_address, with_a_purge);
    let mut command = Command::new(program);
    for (name, value) in as_configured.get_envs() {
        command.env(name, value.unwrap());
    }
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut log_lines = Vec::new();
    while !log_lines.last().is_some_and(|line: &String| line.contains("listening")) {
        let mut line = String::new();
        assert_ne!(log.read_line(&mut line).unwrap(), 0, "the process ended: {log_lines:?}");
        log_lines.push(line);
    }
    (Process { child, log, admin_address }, log_lines)
}

/// Checks that a process of the second program takes over the listener, and the purge in force, from one of the first.
fn check_takeover(name: &str, first_program: &Path, second_program: &Path) {
    let (temp_dir, listen) = (TempDir::new(name), unused_address());
    let (mut first, _) = start_program(first_program, &temp_dir.0, &listen);
    assert_eq!(health_status(&listen), 20);
    let (mut second, log_lines) = start_program(second_program, &temp_dir.0, &listen);
    assert!(log_lines.iter().any(|line| line.contains("taking over, purges: 1")), "{log_lines:?}");
    first.logs("another process takes over");
    assert_eq!(second.call("status"), "done serving\n");
    let replaced = (0..1_000).any(|_| first.call("status").starts_with("error"));
    assert!(replaced, "the replaced process still accepts clients");
    assert_eq!(health_status(&listen), 20);
    assert!(temp_dir.file("state").is_some() && temp_dir.file("sock").is_some());
    assert_eq!(first.end().code(), Some(0));
    second.logs("the process before has ended");
    assert_eq!(health_status(&listen), 20);
    assert_eq!(second.end().code(), Some(0));
}

#[test]
fn the_current_version_takes_over_from_the_previous_version() {
    check_takeover("from-previous", &previous_program(), Path::new(env!("CARGO_BIN_EXE_larchdale")));
}

#[test]
fn the_previous_version_takes_over_from_the_current_version() {
    check_takeover("to-previous", Path::new(env!("CARGO_BIN_EXE_larchdale")), &previous_program());
}
