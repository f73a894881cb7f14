//! One process of an instance taking over from another, as they are started: same configuration, same `$TMPDIR`, a
//! door of its own for each. Nothing here rests on timing: each step waits for what it needs.
#![cfg(unix)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Far longer than anything here takes: only a hang gets there.
const HANG: Duration = Duration::from_secs(60);

/// A folder of its own, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("larchdale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    /// The one file of a kind that an instance left here.
    fn file(&self, kind: &str) -> Option<PathBuf> {
        let files = std::fs::read_dir(&self.0).unwrap().map(|f| f.unwrap().path());
        let mut found: Vec<PathBuf> = files.filter(|f| f.extension().is_some_and(|e| e == kind)).collect();
        assert!(found.len() <= 1, "{found:?}");
        found.pop()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An address that nobody else has: of a loopback network of this run's own, and not among those that the system
/// gives to connections.
fn free() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let run = std::process::id();
    format!("127.{}.{}.{}:9090", 1 + run % 250, run / 250 % 250, NEXT.fetch_add(1, Ordering::Relaxed))
}

struct Process {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
    door: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command(folder: &Path, listen: &str, door: &str) -> Command {
    command_with(folder, listen, door, |_| {})
}

fn command_with(
    folder: &Path,
    listen: &str,
    door: &str,
    change: impl FnOnce(&mut serde_json::Value),
) -> Command {
    let mut config: serde_json::Value =
        serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    config["listen"] = listen.into();
    config["channel"] = "127.0.0.1:9".into();
    change(&mut config);
    let path = folder.join("config");
    std::fs::write(&path, config.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_larchdale"));
    command
        .env("PROXY_CONFIG", path)
        .env("PROXY_MANAGEMENT", door)
        .env("TMPDIR", folder)
        .stderr(Stdio::piped());
    command
}

/// Starts a process and waits until it listens.
fn start(folder: &Path, listen: &str) -> Process {
    start_with(folder, listen, |_| {})
}

fn start_with(folder: &Path, listen: &str, change: impl FnOnce(&mut serde_json::Value)) -> Process {
    let door = free();
    let mut child = command_with(folder, listen, &door, change).spawn().unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    let mut process = Process { child, log, door };
    process.logs("listening");
    process
}

impl Process {
    fn logs(&mut self, text: &str) {
        let found = self.log.by_ref().lines().any(|l| l.unwrap().contains(text));
        assert!(found, "never logged: {text}");
    }

    fn call(&self, line: &str) -> String {
        let mut door = TcpStream::connect(&self.door).unwrap();
        door.set_read_timeout(Some(HANG)).unwrap();
        writeln!(door, "{line}").unwrap();
        let mut answer = String::new();
        door.read_to_string(&mut answer).unwrap();
        answer
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Waits until all threads are stopped: a process that is not scheduled yet may still handle a lower signal first.
    fn waits_until_stopped(&self) {
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

/// What the front hears on a new connection.
fn ready(listen: &str) -> u8 {
    is_ready(asks(listen))
}

/// A new connection on which the front has asked.
fn asks(listen: &str) -> TcpStream {
    let mut client = TcpStream::connect(listen).unwrap();
    client.set_read_timeout(Some(HANG)).unwrap();
    client.write_all(&[0, 0, 0, 6, 1, 0, 0, 0, 9, 0]).unwrap();
    client
}

fn is_ready(mut client: TcpStream) -> u8 {
    let mut answer = [0; 11];
    client.read_exact(&mut answer).unwrap();
    answer[9]
}

#[test]
fn a_second_process_takes_over_by_the_same_listener_and_the_next_one_from_it() {
    let (folder, listen) = (Folder::new("takes-over"), free());
    let mut first = start(&folder.0, &listen);
    // A client that is there already is told to leave, and meets no reset.
    let mut kept = TcpStream::connect(&listen).unwrap();
    kept.set_read_timeout(Some(HANG)).unwrap();
    kept.write_all(&[0, 0, 0, 6, 1, 0, 0, 0, 9, 0]).unwrap();
    kept.read_exact(&mut [0; 11]).unwrap();
    let mut second = start(&folder.0, &listen);
    first.logs("another process takes over");
    assert_eq!(second.call("status"), "done serving\n");
    let mut leaving = [0; 9];
    kept.read_exact(&mut leaving).unwrap();
    assert_eq!(leaving[4], 3);
    assert!(first.call("status").starts_with("error"), "it takes no clients any more");
    assert!(first.call("standby").starts_with("error replaced"));
    assert!(folder.file("state").is_some() && folder.file("sock").is_some());
    // While both stand: new settings reach both, and the one that serves can be emptied and filled again.
    for process in [&first, &second] {
        process.signal("-HUP");
        let taken = || process.call("stats").contains("proxy_reload_success_total 1\n");
        assert!((0..1_000).any(|_| taken()), "SIGHUP is not heard");
    }
    assert_eq!(second.call("standby"), "done standby\n");
    assert_ne!(ready(&listen), 20);
    assert_eq!(second.call("active"), "done serving\n");
    assert_eq!(ready(&listen), 20);
    // Connections that wait while the first one ends are all answered by the second.
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
    let mut third = start(&folder.0, &listen);
    assert_eq!(second.end().code(), Some(0));
    assert_eq!((third.call("status").as_str(), ready(&listen)), ("done serving\n", 20));
    assert_eq!(third.end().code(), Some(0));
}

#[test]
fn a_successor_that_dies_leaves_the_first_as_it_was_and_a_third_process_is_turned_away() {
    let (folder, listen) = (Folder::new("dies"), free());
    let mut first = start(&folder.0, &listen);
    // One that says hello, and for now nothing more.
    let mut successor = UnixStream::connect(folder.file("sock").unwrap()).unwrap();
    let hello =
        format!("{{\"hello\":{{\"version\":1,\"who\":{{\"name\":\"example\",\"listen\":\"{listen}\"}}}}}}\n");
    successor.write_all(hello.as_bytes()).unwrap();
    first.logs("another process takes over");
    assert_eq!(first.call("status"), "done serving\n", "until the other one serves");
    let output = command(&folder.0, &listen, &free()).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && text.lines().count() == 1 && text.contains("one at a time"),
        "{text}"
    );
    successor.write_all(b"{\"serving\":{\"shared\":true}}\n").unwrap();
    let replaced = (0..1_000).any(|_| first.call("status").starts_with("error"));
    assert!(replaced, "it goes on taking clients");
    // By now the name is the successor's, and dies with it.
    let name = folder.file("sock").unwrap();
    std::fs::remove_file(&name).unwrap();
    drop(std::os::unix::net::UnixListener::bind(&name).unwrap());
    drop(successor);
    first.logs("the successor has ended");
    assert_eq!((first.call("status").as_str(), ready(&listen)), ("done serving\n", 20));
    // The name leads to it again.
    let second = start(&folder.0, &listen);
    assert_eq!(second.call("status"), "done serving\n");
    let replaced = (0..1_000).any(|_| first.call("status").starts_with("error"));
    assert!(replaced, "they have not found each other");
    assert_eq!(first.end().code(), Some(0));
}

#[test]
fn what_is_left_of_a_killed_process_or_is_foreign_does_not_stop_a_start() {
    let (folder, listen) = (Folder::new("left"), free());
    let mut first = start(&folder.0, &listen);
    first.signal("-KILL");
    first.child.wait().unwrap();
    let name = folder.file("sock").expect("it could not take its name away");
    let mut second = start(&folder.0, &listen);
    assert_eq!(second.call("status"), "done serving\n");
    assert_eq!(second.end().code(), Some(0));
    // Neither does a file of that name, nor one who says nothing that can be understood.
    std::fs::remove_file(&name).unwrap();
    std::fs::write(&name, "no socket").unwrap();
    let mut third = start(&folder.0, &listen);
    assert_eq!(third.call("status"), "done serving\n");
    // A spoilt state is left unused, and the listener is handed over all the same.
    std::fs::write(name.with_extension("state"), "larchdale-state 1 00000000\n{}").unwrap();
    let fourth = start(&folder.0, &listen);
    assert_eq!(fourth.call("status"), "done serving\n");
    assert_eq!(third.end().code(), Some(0));
    drop(fourth);
    std::fs::remove_file(&name).unwrap();
    let foreign = std::os::unix::net::UnixListener::bind(&name).unwrap();
    let answering = std::thread::spawn(move || foreign.accept().unwrap().0.write_all(b"220 ready\n"));
    let fifth = start(&folder.0, &listen);
    answering.join().unwrap().unwrap();
    assert_eq!((fifth.call("status").as_str(), ready(&listen)), ("done serving\n", 20));
}

#[test]
fn a_folder_that_can_not_be_used_costs_the_handover_and_nothing_else() {
    let (folder, listen) = (Folder::new("unusable"), free());
    let missing = folder.0.join("not/there");
    let mut ends = Vec::new();
    for _ in 0..2 {
        // With the address shared both still stand beside each other.
        let door = free();
        let mut child = command(&folder.0, &listen, &door).env("TMPDIR", &missing).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let mut process = Process { child, log, door };
        process.logs("a successor will not find this process");
        assert_eq!(process.call("status"), "done serving\n");
        ends.push(process);
    }
    for mut process in ends {
        assert_eq!(process.end().code(), Some(0));
    }
}

#[test]
fn a_door_that_is_taken_or_no_address_ends_the_start_with_one_line() {
    let folder = Folder::new("door");
    let taken = TcpListener::bind(free()).unwrap();
    for (door, named) in
        [(taken.local_addr().unwrap().to_string(), "admin endpoint"), ("door".into(), "PROXY_MANAGEMENT")]
    {
        let output = command(&folder.0, &free(), &door).output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        // What may pass is waited for, and that is said once.
        let (waits, ends): (Vec<&str>, Vec<&str>) = text.lines().partition(|l| l.contains("trying again"));
        assert!(!output.status.success() && waits.len() <= usize::from(named == "admin endpoint"), "{text}");
        assert!(matches!(ends[..], [end] if end.contains(named) && end.contains(&door)), "{text}");
    }
}

fn no_list(config: &mut serde_json::Value) {
    config["known"] = serde_json::json!({"cursor": 0, "cmds": []});
}

/// The second process has no list of endpoints yet. It used to take connections all the same, and told the front, and
/// clients, that the instance was not ready, while the first one beside it was.
#[test]
fn a_second_process_takes_no_connections_before_it_serves_or_is_alone() {
    let (folder, listen) = (Folder::new("no-list"), free());
    let mut first = start(&folder.0, &listen);
    let mut second = start_with(&folder.0, &listen, no_list);
    first.logs("another process takes over");
    // With the first one held, only the second could take what comes now; it has had turns enough to.
    first.signal("-STOP");
    let waiting = asks(&listen);
    for _ in 0..3 {
        assert_eq!(second.call("status"), "error not serving: starting\n");
    }
    first.signal("-CONT");
    assert_eq!(is_ready(waiting), 20);
    // The first one ends before the second serves: nobody else takes them now.
    assert_eq!(first.end().code(), Some(0));
    second.logs("the process before has ended");
    assert_ne!(ready(&listen), 20);
    assert_eq!(second.end().code(), Some(0));
}

/// Held, the process finds all its signals in one turn: the file is read once, and before it is told to end.
#[test]
fn signals_that_come_together_are_each_heard_once() {
    let (folder, listen) = (Folder::new("signals"), free());
    let mut process = start(&folder.0, &listen);
    process.signal("-STOP");
    process.waits_until_stopped();
    for signal in ["-HUP", "-HUP", "-TERM", "-TERM", "-CONT"] {
        process.signal(signal);
    }
    assert_eq!(process.child.wait().unwrap().code(), Some(0));
    let lines: Vec<String> = process.log.by_ref().lines().map(Result::unwrap).collect();
    let places = |text: &str| -> Vec<usize> {
        lines.iter().enumerate().filter(|l| l.1.contains(text)).map(|l| l.0).collect()
    };
    let (read, end) = (places("configuration reloaded"), places("shutdown requested"));
    assert!(read.len() == 1 && end.len() == 1 && read < end, "{lines:?}");
}

/// An earlier version of the program, where the environment names one, else the present one: takeovers must work from
/// each to the other.
fn previous_program() -> PathBuf {
    std::env::var_os("LARCHDALE_PREVIOUS_PROGRAM")
        .map_or(env!("CARGO_BIN_EXE_larchdale").into(), PathBuf::from)
}

/// One purge is in force, and stays so for far longer than the test takes.
fn with_a_purge(config: &mut serde_json::Value) {
    let now_ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    let purge = serde_json::json!({"cursor": 2, "drop": {"family": 17, "when": now_ms}});
    config["known"]["cmds"].as_array_mut().unwrap().push(purge);
    config["known"]["cursor"] = 2.into();
    config["settings"]["domain"]["purge-done-us"] = 600_000_000.into();
}

/// Starts a process of a program, waits until it listens, and gives what it logged up to then.
fn start_program(program: &Path, folder: &Path, listen: &str) -> (Process, Vec<String>) {
    let door = free();
    let as_configured = command_with(folder, listen, &door, with_a_purge);
    let mut command = Command::new(program);
    for (name, value) in as_configured.get_envs() {
        command.env(name, value.unwrap());
    }
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut said = Vec::new();
    while !said.last().is_some_and(|line: &String| line.contains("listening")) {
        let mut line = String::new();
        assert_ne!(log.read_line(&mut line).unwrap(), 0, "it ended: {said:?}");
        said.push(line);
    }
    (Process { child, log, door }, said)
}

/// One process takes over from another: the listener, and the purge that was left in force.
fn takes_over(name: &str, first_program: &Path, second_program: &Path) {
    let (folder, listen) = (Folder::new(name), free());
    let (mut first, _) = start_program(first_program, &folder.0, &listen);
    assert_eq!(ready(&listen), 20);
    let (mut second, said) = start_program(second_program, &folder.0, &listen);
    assert!(said.iter().any(|line| line.contains("taking over, purges: 1")), "{said:?}");
    first.logs("another process takes over");
    assert_eq!(second.call("status"), "done serving\n");
    let replaced = (0..1_000).any(|_| first.call("status").starts_with("error"));
    assert!(replaced, "it goes on taking clients");
    assert_eq!(ready(&listen), 20);
    assert!(folder.file("state").is_some() && folder.file("sock").is_some());
    assert_eq!(first.end().code(), Some(0));
    second.logs("the process before has ended");
    assert_eq!(ready(&listen), 20);
    assert_eq!(second.end().code(), Some(0));
}

#[test]
fn a_process_of_the_present_program_takes_over_from_one_of_the_previous() {
    takes_over("from-previous", &previous_program(), Path::new(env!("CARGO_BIN_EXE_larchdale")));
}

#[test]
fn a_process_of_the_previous_program_takes_over_from_one_of_the_present() {
    takes_over("to-previous", Path::new(env!("CARGO_BIN_EXE_larchdale")), &previous_program());
}
