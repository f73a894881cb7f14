//! Checks the named arguments of one call in a settings script. Each supported argument is taken by name; any argument
//! that remains is unknown and reported as an error.

use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Maximum edit distance at which an unknown argument is reported as a misspelling of a known one.
const MAX_MISSPELLING: usize = 3;

/// An invalid call in a settings script.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{problem} (hint: {hint})")]
pub struct CallError {
    /// The invalid argument; `None` if the error concerns the whole call.
    pub argument: Option<String>,
    /// Description of the error.
    pub problem: String,
    /// How to correct the call.
    pub hint: String,
}

impl CallError {
    /// Creates an error that concerns the whole call.
    pub fn whole(problem: String, hint: &str) -> Self {
        CallError { argument: None, problem, hint: hint.to_owned() }
    }

    fn at(argument: &str, problem: String, hint: String) -> Self {
        CallError { argument: Some(argument.to_owned()), problem, hint }
    }
}

/// The arguments of one call, from which supported ones are taken by name.
#[derive(Debug)]
pub struct Arguments {
    call: &'static str,
    given: BTreeMap<String, Value>,
    known: Vec<&'static str>,
}

/// Returns the Starlark name of a value's type, with its article.
fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "None",
        Value::Bool(_) => "a bool",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "a dict",
    }
}

impl Arguments {
    /// Wraps the arguments given to a call; `call` is the function's name.
    pub fn new(call: &'static str, given: BTreeMap<String, Value>) -> Self {
        Arguments { call, given, known: Vec::new() }
    }

    fn take(&mut self, name: &'static str) -> Option<Value> {
        self.known.push(name);
        self.given.remove(name).filter(|value| !value.is_null())
    }

    /// Returns the value of a required argument, or an error if it is absent. Call this after [`Arguments::finish`],
    /// whose error for a misspelt argument is more precise.
    pub fn required<T>(call: &str, name: &str, value: Option<T>) -> Result<T, CallError> {
        value.ok_or_else(|| {
            CallError::whole(format!("{call}() requires {name}"), "it has no default; add it to the call")
        })
    }

    /// Takes an optional integer argument, checks its range and passes it to `set`.
    pub fn number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        set: impl FnOnce(u64),
    ) -> Result<(), CallError> {
        let Some(value) = self.take(name) else { return Ok(()) };
        let hint = format!("an integer from {} to {}", range.start(), range.end());
        if !value.is_number() {
            return Err(CallError::at(name, format!("{name} is {}, not a number", kind(&value)), hint));
        }
        match value.as_u64().filter(|number| range.contains(number)) {
            Some(number) => set(number),
            None => {
                return Err(CallError::at(name, format!("{name} is {value}, which is out of range"), hint))
            }
        }
        Ok(())
    }

    /// Takes an optional boolean argument.
    pub fn flag(&mut self, name: &'static str) -> Result<Option<bool>, CallError> {
        match self.take(name) {
            None => Ok(None),
            Some(Value::Bool(value)) => Ok(Some(value)),
            Some(other) => {
                let problem = format!("{name} is {}, not a bool", kind(&other));
                Err(CallError::at(name, problem, "True or False".to_owned()))
            }
        }
    }

    /// Takes an optional string argument and parses it with `read`.
    pub fn text<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<Option<T>, CallError> {
        let Some(value) = self.take(name) else { return Ok(None) };
        let Value::String(text) = &value else {
            let problem = format!("{name} is {}, not a string", kind(&value));
            return Err(CallError::at(name, problem, "put it in quotes".to_owned()));
        };
        let unusable =
            |problem| CallError::at(name, format!("{name}: {problem}"), "see docs/operators".to_owned());
        read(text).map(Some).map_err(unusable)
    }

    /// Takes an optional list of strings, parses each with `read` and rejects duplicates.
    pub fn list<T: PartialEq>(
        &mut self,
        name: &'static str,
        count: RangeInclusive<usize>,
        read: impl Fn(&str) -> Result<T, String>,
    ) -> Result<Option<Vec<T>>, CallError> {
        let Some(value) = self.take(name) else { return Ok(None) };
        let hint = format!("a list of {} to {} strings", count.start(), count.end());
        let Value::Array(parts) = &value else {
            return Err(CallError::at(name, format!("{name} is {}, not a list", kind(&value)), hint));
        };
        if !count.contains(&parts.len()) {
            return Err(CallError::at(name, format!("{name} has {} entries", parts.len()), hint));
        }
        let mut read_parts = Vec::with_capacity(parts.len());
        for (at, part) in parts.iter().enumerate() {
            let Value::String(text) = part else {
                return Err(CallError::at(
                    name,
                    format!("{name}[{at}] is {}, not a string", kind(part)),
                    hint,
                ));
            };
            let one = read(text)
                .map_err(|problem| CallError::at(name, format!("{name}[{at}]: {problem}"), hint.clone()))?;
            if read_parts.contains(&one) {
                return Err(CallError::at(name, format!("{name}[{at}] is a duplicate: '{text}'"), hint));
            }
            read_parts.push(one);
        }
        Ok(Some(read_parts))
    }

    /// Checks that every given argument was taken.
    ///
    /// # Errors
    ///
    /// Reports the first unknown argument, with the most similar known one as a hint.
    pub fn finish(&self) -> Result<(), CallError> {
        let Some(unknown) = self.given.keys().next() else { return Ok(()) };
        let distance = |known: &&&str| strsim::damerau_levenshtein(unknown, known);
        let hint = match self.known.iter().min_by_key(distance) {
            Some(near) if strsim::damerau_levenshtein(unknown, near) <= MAX_MISSPELLING => {
                format!("did you mean {near}?")
            }
            _ => format!("{}() takes {}", self.call, self.known.join(", ")),
        };
        Err(CallError::at(unknown, format!("{}() has no argument {unknown}", self.call), hint))
    }
}
