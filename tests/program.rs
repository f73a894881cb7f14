//! The instance process: configuration, signals, lack of descriptors, and a log that isn't read.
#![cfg(unix)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::Duration;

/// Time limit of each wait, far longer than any step takes, so that only a hang reaches the limit.
const HANG: Duration = Duration::from_secs(60);

struct Program {
    child: Child,
    log: BufReader<ChildStderr>,
    listen: String,
    temp_dir: TempDir,
}

/// A temporary directory that is removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("larchdale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempDir(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the example configuration with another listen address and a command channel that refuses connections.
fn config(listen: &str) -> String {
    config_with(listen, "127.0.0.1:9")
}

fn config_with(listen: &str, channel: &str) -> String {
    let text = include_str!("../examples/config.json");
    let mut config: serde_json::Value = serde_json::from_str(text).unwrap();
    config["listen"] = listen.into();
    config["channel"] = channel.into();
    config.to_string()
}

fn start(name: &str, shell_prefix: &str) -> Program {
    start_with(name, shell_prefix, &config("127.0.0.1:0"))
}

fn start_with(name: &str, shell_prefix: &str, config: &str) -> Program {
    let mut program = spawn(name, shell_prefix, config, String::new());
    // The first line, or the first after those of the debug level, has the listen address; the rest of the log stays
    // unread.
    let mut listening = String::new();
    while !listening.contains("listening") {
        listening.clear();
        assert_ne!(program.log.read_line(&mut listening).unwrap(), 0, "the process ended");
    }
    program.listen =
        listening.split_once("address: ").and_then(|p| p.1.split_once(',')).unwrap().0.to_owned();
    program
}

/// Starts the program by a shell, after the commands in `shell_prefix`. No log line is read yet.
fn spawn(name: &str, shell_prefix: &str, config: &str, listen: String) -> Program {
    let temp_dir = TempDir::new(name);
    let path = temp_dir.0.join("config.json");
    std::fs::write(&path, config).unwrap();
    let mut child = Command::new("/bin/sh")
        .args(["-c", &format!("{shell_prefix} exec \"$0\""), env!("CARGO_BIN_EXE_larchdale")])
        .env("PROXY_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    Program { child, log, listen, temp_dir }
}

impl Program {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.listen).unwrap();
        stream.set_read_timeout(Some(HANG)).unwrap();
        stream
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    fn reconfigure(&self, config: &str) {
        std::fs::write(self.temp_dir.0.join("config.json"), config).unwrap();
        self.signal("-HUP");
    }

    /// Reads the log until a line contains `text`.
    fn wait_for_log(&mut self, text: &str) {
        assert!(self.log.by_ref().lines().any(|l| l.unwrap().contains(text)), "never logged: {text}");
    }

    /// Whether the process listens before `HANG`, and is ready.
    fn becomes_ready(&self) -> bool {
        let began = std::time::Instant::now();
        while began.elapsed() < HANG {
            if TcpStream::connect(&self.listen).is_ok() {
                return self.is_ready();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let mut client = self.connect();
        client.write_all(&[0, 0, 0, 6, 1, 0, 0, 0, 9, 0]).unwrap();
        let mut answer = [0; 11];
        client.read_exact(&mut answer).unwrap();
        answer == [0, 0, 0, 7, 2, 0, 0, 0, 9, 20, 0]
    }
}

/// Starts the program with a configuration that it must refuse, and returns its error message.
fn refusal_message(config: Option<&str>, name: &str) -> String {
    let temp_dir = TempDir::new(name);
    let path = temp_dir.0.join("config.json");
    if let Some(text) = config {
        std::fs::write(&path, text).unwrap();
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_larchdale"));
    let output = command.env("PROXY_CONFIG", &path).output().unwrap();
    assert!(!output.status.success());
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(message.lines().count(), 1, "{message}");
    message
}

#[test]
fn an_invalid_configuration_ends_the_start_with_one_line_that_names_the_fault() {
    assert!(refusal_message(None, "none").contains("can't read"));
    assert!(refusal_message(Some("{"), "json").contains("is not a configuration"));
    let valid = config("127.0.0.1:0");
    for (from, to, named) in [
        ("\"127.0.0.1:0\"", "\"nowhere\"", "listen"),
        ("\"SERVING\"", "\"DANCING\"", "lifecycle"),
        ("\"multiplex\":32", "\"multiplex\":0", "multiplex"),
        ("\"127.0.0.1:0\"", "\"203.0.113.7:1\"", "can't listen"),
    ] {
        assert!(valid.contains(from), "{from}");
        let message = refusal_message(Some(&valid.replace(from, to)), "value");
        assert!(message.contains(named), "{message}");
    }
    // Settings of the gossip between instances.
    let mut peering: serde_json::Value = serde_json::from_str(&valid).unwrap();
    (peering["peers"], peering["peer_listen"]) =
        (serde_json::json!(["127.0.0.1:1", "127.0.0.1:2"]), "127.0.0.1:3".into());
    peering["settings"]["limits"]["may-tell"] = true.into();
    let message_with = |pointer: &str, value: serde_json::Value| {
        let mut invalid = peering.clone();
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        invalid.pointer_mut(parent).unwrap()[key] = value;
        refusal_message(Some(&invalid.to_string()), "peers")
    };
    for (pointer, value, named) in [
        ("/peers", serde_json::json!(["127.0.0.1:1", "127.0.0.1:1"]), "peers: '127.0.0.1:1 (there twice)'"),
        ("/peers", serde_json::json!(["127.0.0.1:1", "n1"]), "peers: 'n1'"),
        ("/peer_listen", "here".into(), "peer_listen: 'here'"),
        ("/settings/slot-no", 2.into(), "settings.slot-no: '2 (there are 2 peers)'"),
        ("/settings/limits/peer-datagrams-per-s", 0.into(), "peer-datagrams-per-s: '0"),
        ("/link_bytes_per_s", (-1).into(), "link_bytes_per_s: '-1 (0 or above)'"),
    ] {
        let message = message_with(pointer, value);
        assert!(message.contains(named), "{message}");
    }
}

#[test]
fn sigterm_ends_the_process_with_status_0() {
    let mut program = start("sigterm", "");
    assert!(program.is_ready());
    program.signal("-TERM");
    assert_eq!(program.child.wait().unwrap().code(), Some(0));
    let mut rest = String::new();
    program.log.read_to_string(&mut rest).unwrap();
    assert!(rest.contains("draining") && rest.contains("shutdown complete"), "{rest}");
}

/// Accepts an instance's connection to a command channel; returns the connection and the cursor that the instance sent.
fn accept_channel(channel: &TcpListener) -> (TcpStream, u64) {
    let (mut stream, _) = channel.accept().unwrap();
    stream.set_read_timeout(Some(HANG)).unwrap();
    let mut cursor = [0; 8];
    stream.read_exact(&mut cursor).unwrap();
    (stream, u64::from_be_bytes(cursor))
}

/// Guards against SIGHUP ending the process, as is the default, and against an invalid or partly written file
/// replacing a valid configuration.
#[test]
fn sighup_moves_the_command_channel_and_keeps_its_cursor_and_an_invalid_file_changes_nothing() {
    let [first, second] = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let config_for = |l: &TcpListener| config_with("127.0.0.1:0", &l.local_addr().unwrap().to_string());
    let mut program = start_with("sighup", "", &config_for(&first));
    let (mut old, cursor) = accept_channel(&first);
    // A purge of group 1, whose number must be the cursor at the next channel.
    let mut event = 19u32.to_be_bytes().to_vec();
    event.extend((cursor + 1).to_be_bytes());
    event.extend([4, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1]);
    old.write_all(&event).unwrap();
    let valid = config_for(&second);
    for invalid in ["", &valid[..valid.len() / 2], &valid.replace("SERVING", "DANCING")] {
        program.reconfigure(invalid);
        program.wait_for_log("new configuration not used");
        assert!(program.is_ready());
    }
    program.reconfigure(&valid);
    assert_eq!(accept_channel(&second).1, cursor + 1);
    assert_eq!(old.read(&mut [0]).unwrap(), 0, "the old connection is closed");
    assert!(program.is_ready());
    program.signal("-TERM");
    assert_eq!(program.child.wait().unwrap().code(), Some(0));
}

/// Guards against a reload that is given up when the file can't be opened for lack of descriptors at the time of SIGHUP
/// ("new configuration not used"): the file must be read again a moment later.
#[test]
fn a_reload_that_lacks_descriptors_is_retried() {
    use rustix::process::{getrlimit, prlimit, Pid, Resource, Rlimit};
    let (first, second) =
        (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let config_for = |l: &TcpListener| config_with("127.0.0.1:0", &l.local_addr().unwrap().to_string());
    let mut program = start_with("sighup-descriptors", "", &config_for(&first));
    let _watch = accept_channel(&first);
    let pid = Pid::from_child(&program.child);
    let limit = |current| {
        let maximum = getrlimit(Resource::Nofile).maximum;
        prlimit(Some(pid), Resource::Nofile, Rlimit { current: Some(current), maximum }).unwrap();
    };
    // The lowest free descriptor number is the one that the next opened file gets.
    let path = |n: &u64| PathBuf::from(format!("/proc/{}/fd/{n}", program.child.id()));
    let free = (0..).find(|n| path(n).symlink_metadata().is_err()).unwrap();
    limit(free);
    program.reconfigure(&config_for(&second));
    // Stops at the retry or at the failure, whichever is logged, so that the test never hangs.
    let mut line = String::new();
    while !line.contains("configuration") || line.contains("listening") {
        line.clear();
        assert!(program.log.read_line(&mut line).unwrap() > 0);
    }
    assert!(line.contains("can't be read yet"), "{line}");
    limit(256);
    program.wait_for_log("configuration reloaded");
    accept_channel(&second);
}

/// Guards against SIGHUP ending a process that hasn't read its configuration yet, as where signals are handled only
/// after that. The configuration is a pipe, so the process is known to have just started while it waits to read it.
#[test]
fn sighup_before_the_configuration_is_read_causes_a_reload_and_not_the_end_of_the_process() {
    let temp_dir = TempDir::new("first-moment");
    let path = temp_dir.0.join("config.json");
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut child = Command::new(env!("CARGO_BIN_EXE_larchdale"))
        .env("PROXY_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Blocks until the process has opened the other end.
    let mut first = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    assert!(Command::new("kill").args(["-HUP", &child.id().to_string()]).status().unwrap().success());
    let text = config("127.0.0.1:0");
    first.write_all(text.as_bytes()).unwrap();
    drop(first);
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut wait_for_log =
        |text: &str| assert!(log.any(|l| l.unwrap().contains(text)), "never logged: {text}");
    wait_for_log("listening");
    std::fs::write(&path, &text).unwrap();
    wait_for_log("configuration reloaded");
    assert!(Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_process_that_ran_out_of_descriptors_is_ready_again() {
    let program = start("descriptors", "ulimit -n 24;");
    let held: Vec<TcpStream> = (0..60).map(|_| program.connect()).collect();
    drop(held);
    assert!(program.is_ready());
}

/// Starts with so few descriptors that, with each further one, another step of the start fails, and raises the limit
/// afterwards. Guards against a start that ends with status 2, for example with "can't listen".
#[test]
fn a_start_that_lacks_descriptors_is_retried_until_the_limit_is_raised() {
    use rustix::process::{getrlimit, prlimit, Pid, Resource, Rlimit};
    let hard_limit = getrlimit(Resource::Nofile).maximum;
    for limit in 4..=14 {
        let listen = unused_address();
        let name = format!("few-{limit}");
        let mut program = spawn(&name, &format!("ulimit -S -n {limit};"), &config(&listen), listen);
        let mut first = String::new();
        program.log.read_line(&mut first).unwrap();
        let pid = Pid::from_child(&program.child);
        prlimit(Some(pid), Resource::Nofile, Rlimit { current: Some(256), maximum: hard_limit }).unwrap();
        assert!(first.contains("trying again") || first.contains("listening"), "{limit}: {first}");
        assert!(program.becomes_ready(), "with {limit} descriptors: {first}");
    }
}

/// Another process still uses the listen address: the start is retried, and SIGTERM is handled meanwhile.
#[test]
fn a_start_retries_while_its_address_is_in_use_and_ends_on_sigterm() {
    for is_terminated in [false, true] {
        let held = TcpListener::bind("127.0.0.1:0").unwrap();
        let listen = held.local_addr().unwrap().to_string();
        let name = format!("in-use-{is_terminated}");
        let mut program = spawn(&name, "", &config(&listen), listen);
        program.wait_for_log("trying again");
        if is_terminated {
            program.signal("-TERM");
            assert!(program.child.wait().unwrap().success());
        } else {
            drop(held);
            // Before the process listens, a connection may still reach the dropped listener: child processes of other
            // tests hold a copy of its descriptor between fork and exec.
            program.wait_for_log("listening");
            assert!(program.becomes_ready());
        }
    }
}

/// Returns a loopback address that was unused at the time of the call.
fn unused_address() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

/// Encodes a request on stream 1 that no endpoint can serve in time.
fn request(number: u64) -> Vec<u8> {
    let id = format!("{number:016x}");
    let fields = [("route", "images"), ("trace", &id), ("patience", "200"), ("entity", &id), ("size", "1.0")];
    let mut payload = vec![7, 0, 0, 0, 1, fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.as_bytes());
    }
    [(payload.len() as u32).to_be_bytes().to_vec(), payload].concat()
}

#[test]
fn a_log_that_is_not_read_does_not_block_the_process() {
    // Each request causes a log line; together these are far more than the pipe and the log queue can hold.
    let mut program = start("log", "export LARCHDALE_LOG=debug;");
    for number in 0..4_000 {
        let mut client = program.connect();
        client.write_all(&request(number)).unwrap();
        let mut reply = [0; 9];
        client.read_exact(&mut reply).unwrap();
        assert_eq!(reply[4..], [8, 0, 0, 0, 1]);
    }
    assert!(program.is_ready());
    // Once the log is read, it reports that lines were dropped.
    assert!(program
        .log
        .by_ref()
        .lines()
        .any(|l| l.unwrap().contains("dropped messages due to channel overflow")));
}

#[test]
fn the_check_command_accepts_valid_settings_and_reports_the_position_of_an_error() {
    let check = |path: &std::path::Path| {
        let output = Command::new(env!("CARGO_BIN_EXE_larchdale")).arg("check").arg(path).output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    for file in ["deploy/larchdale.star", "examples/registry.star"] {
        let (code, text) = check(&root.join(file));
        assert!(code == Some(0) && text.contains("registry"), "{text}");
    }
    let temp_dir = TempDir::new("check");
    let invalid = temp_dir.0.join("bad.star");
    std::fs::write(&invalid, "log(\n    form = \"xml\",\n)\n").unwrap();
    let (code, text) = check(&invalid);
    assert!(code == Some(2) && text.contains("bad.star:2:5: ") && text.contains("neither"), "{text}");
}

#[test]
fn with_the_json_log_format_log_lines_are_json_objects() {
    let temp_dir = TempDir::new("json-lines");
    let path = temp_dir.0.join("config.json");
    std::fs::write(&path, config("127.0.0.1:0")).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_larchdale"))
        .args(["run", "--log-format", "json"])
        .env("PROXY_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stderr.take().unwrap()).read_line(&mut line).unwrap();
    let _ = child.kill();
    let _ = child.wait();
    let line: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert!(line["msg"] == "listening" && line["address"].is_string(), "{line}");
}
