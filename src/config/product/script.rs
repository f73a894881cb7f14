//! Runs a settings script. Starlark has no access to clocks, files or the network, so the same text always gives the
//! same settings. Steps and memory are limited, and each error is reported with file, line, column and a hint.

use super::arguments::{Arguments, CallError};
use super::Product;
use starlark::collections::SmallMap;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::none::NoneType;
use starlark::values::Value;
use std::cell::RefCell;
use std::fmt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Maximum number of function calls and loop iterations.
const MAX_STEPS: u64 = 200_000;
/// Maximum heap size in bytes. Starlark checks this limit periodically, not on each allocation.
const MAX_HEAP_BYTES: usize = 16 << 20;
/// Maximum depth of nested calls.
const MAX_CALL_DEPTH: usize = 64;
/// Maximum size of a script in bytes.
const MAX_SCRIPT_BYTES: u64 = 256 << 10;

/// An error that keeps a script from producing settings.
#[derive(Debug, Error)]
pub enum ScriptError {
    /// The script file can't be read.
    #[error("can't read {}: {}", .0.display(), .1)]
    Unreadable(PathBuf, std::io::Error),
    /// The script is longer than the limit.
    #[error("{} has {} bytes; at most {MAX_SCRIPT_BYTES} are allowed", .0.display(), .1)]
    TooLong(PathBuf, u64),
    /// The script is invalid. Lines and columns start at 1; line 0 means the script as a whole.
    #[error("{}{what}", Position { path, line: *line, column: *column })]
    Invalid {
        /// Path of the script.
        path: PathBuf,
        /// Line of the error.
        line: usize,
        /// Column of the error.
        column: usize,
        /// Description of the error, with a hint if there is one.
        what: String,
    },
}

/// A position in a script, written before an error message.
struct Position<'a> {
    path: &'a Path,
    line: usize,
    column: usize,
}

impl fmt::Display for Position<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { path, line, column } = self;
        match line {
            0 => write!(f, "{}: ", path.display()),
            _ => write!(f, "{}:{line}:{column}: ", path.display()),
        }
    }
}

/// The settings made by the calls of one run, and the error of the last call, if it failed.
#[derive(Debug, Default)]
struct Calls {
    product: Product,
    error: Option<CallError>,
}

thread_local! {
    /// State of the script run in progress on this thread. Starlark's own way of passing a value to the functions that
    /// a script calls needs an unsafe trait, and this crate forbids unsafe code.
    static CALLS: RefCell<Calls> = RefCell::default();
}

fn apply_call(call: &'static str, kwargs: SmallMap<String, Value>) -> anyhow::Result<NoneType> {
    let json = |(name, value): (String, Value)| Ok((name, value.to_json_value()?));
    let given = kwargs.into_iter().map(json).collect::<anyhow::Result<_>>()?;
    CALLS.with_borrow_mut(|calls| {
        let applied = calls.product.apply_call(call, Arguments::new(call, given));
        applied.map(|()| NoneType).map_err(|error| {
            calls.error = Some(error.clone());
            error.into()
        })
    })
}

#[starlark_module]
fn calls(builder: &mut GlobalsBuilder) {
    /// Sets the registry that supplies the endpoint list.
    fn registry<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        apply_call("registry", kwargs)
    }

    /// Configures the failover of whole sites.
    fn site_plan<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        apply_call("site_plan", kwargs)
    }

    /// Sets where the shard map and the moves are stored, and the limits on moves.
    fn shards<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        apply_call("shards", kwargs)
    }

    /// Adds a window in which a zone's shards may move.
    fn quiet<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        apply_call("quiet", kwargs)
    }

    /// Adds a period in which no shard moves.
    fn blackout<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        apply_call("blackout", kwargs)
    }

    /// Configures how growth is measured and forecast.
    fn growth<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        apply_call("growth", kwargs)
    }

    /// Sets where the purge log is stored and its maximum staleness.
    fn purge_log<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        apply_call("purge_log", kwargs)
    }

    /// Sets the format of log lines.
    fn log<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        apply_call("log", kwargs)
    }
}

/// Reads a script file and runs it.
pub fn read(path: &Path) -> Result<Product, ScriptError> {
    let unreadable = |e| ScriptError::Unreadable(path.to_owned(), e);
    let size = std::fs::metadata(path).map_err(unreadable)?.len();
    if size > MAX_SCRIPT_BYTES {
        return Err(ScriptError::TooLong(path.to_owned(), size));
    }
    run(path, std::fs::read_to_string(path).map_err(unreadable)?)
}

/// Runs a script; `path` is used only in error messages.
pub fn run(path: &Path, text: String) -> Result<Product, ScriptError> {
    let name = path.display().to_string();
    CALLS.take();
    let evaluate = || -> starlark::Result<()> {
        let ast = AstModule::parse(&name, text, &Dialect::Standard)?;
        let globals: Globals = GlobalsBuilder::standard().with(calls).build();
        Module::with_temp_heap(|module| {
            let mut eval = Evaluator::new(&module);
            eval.set_max_callstack_size(MAX_CALL_DEPTH).map_err(starlark::Error::new_other)?;
            eval.set_max_heap_size(MAX_HEAP_BYTES).map_err(starlark::Error::new_other)?;
            eval.set_max_tick_count(MAX_STEPS).map_err(starlark::Error::new_other)?;
            eval.eval_module(ast, &globals).map(drop)
        })
    };
    let result = evaluate();
    let calls = CALLS.take();
    result.map_err(|e| script_error(path, &e, calls.error))?;
    let whole_script_error = |error: CallError| ScriptError::Invalid {
        path: path.to_owned(),
        line: 0,
        column: 0,
        what: error.to_string(),
    };
    super::fleet_calls::check(&calls.product).map_err(whole_script_error)?;
    Ok(calls.product)
}

/// Converts a Starlark error. The position is that of the invalid argument if there is one, otherwise the position that
/// Starlark reports.
fn script_error(path: &Path, e: &starlark::Error, call_error: Option<CallError>) -> ScriptError {
    let (mut line, mut column) = (0, 0);
    if let Some(span) = e.span() {
        let begin = span.resolve_span().begin;
        let source = span.source_span();
        let offset = call_error
            .as_ref()
            .and_then(|error| error.argument.as_deref())
            .and_then(|name| position(source, name));
        let before = &source[..offset.unwrap_or(0)];
        line = begin.line + 1 + before.matches('\n').count();
        column = match before.rfind('\n') {
            Some(at) => before[at + 1..].chars().count() + 1,
            None => begin.column + before.chars().count() + 1,
        };
    }
    let what = match call_error {
        Some(error) => error.to_string(),
        None => e.without_diagnostic().to_string().trim_end().replace('\n', " "),
    };
    ScriptError::Invalid { path: path.to_owned(), line, column, what }
}

/// Returns the byte offset of a named argument in the source of a call.
fn position(source: &str, argument: &str) -> Option<usize> {
    let is_word = |character: Option<char>| character.is_some_and(|c| c.is_alphanumeric() || c == '_');
    let is_named = |&(at, _): &(usize, &str)| {
        let rest = source[at + argument.len()..].trim_start();
        !is_word(source[..at].chars().last()) && rest.starts_with('=') && !rest.starts_with("==")
    };
    source.match_indices(argument).find(is_named).map(|found| found.0)
}
