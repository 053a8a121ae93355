//! The cases of the review. `harness CASE FOLDER` plays one; it exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run.

mod deploy;
mod frames;
mod http;
mod server;
mod traffic;
mod twice;
mod unframed;

use deploy::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

/// What a case is given.
pub struct Case {
    pub record: Record,
    /// Empty folder for settings, logs and disks.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|it| it == "serve") {
        unframed::serve(&arguments[2..]);
        return ExitCode::SUCCESS;
    }
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::create(&PathBuf::from(folder));
    let case = Case {
        record: record.clone(),
        folder: std::env::temp_dir().join(format!("millpass-review-{}", std::process::id())),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.line(format!("case {name}, trouble {}", case.trouble));
    let outcome = match name.as_str() {
        "frames" => frames::play(&case),
        "unframed" => unframed::play(&case),
        "twice" => twice::play(&case),
        _ => Outcome::CouldNotRun(format!("no case {name}")),
    };
    let (text, code) = match outcome {
        Outcome::Broken(why) => (format!("BROKEN: {why}"), 1),
        Outcome::Held(why) => (format!("HELD: {why}"), 0),
        Outcome::CouldNotRun(why) => (format!("COULD NOT RUN: {why}"), 2),
    };
    record.line(text);
    ExitCode::from(code)
}
