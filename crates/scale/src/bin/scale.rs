//! A day of hollow doormans, by name or file.

fn main() -> std::process::ExitCode {
    eprintln!("scale: {}", larchdale_scale::ScaleError::NotBuilt);
    std::process::ExitCode::FAILURE
}
