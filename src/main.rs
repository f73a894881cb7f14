//! The `larchdale` program: the instance and the operators' commands.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    larchdale::cli::main()
}
