//! A compiled program within static bounds.

use crate::cost::{self, Violation};
use crate::error::{PolicyError, PolicyProgram};
use cel::{Context, Program, Value};
use millpass_proto::PolicyName;

/// Maximum length of the source in bytes.
pub const MAXIMUM_SOURCE_BYTES: usize = 4_096;
/// Maximum nesting of brackets. Checked before parsing because the parser is recursive.
pub const MAXIMUM_BRACKET_DEPTH: usize = 24;
/// Maximum number of consecutive prefix operators, such as `!!`.
const MAXIMUM_PREFIX_RUN: usize = 8;
/// Maximum number of conditional operators, which nest to the right.
const MAXIMUM_CONDITIONALS: usize = 24;

/// A compiled program within its bounds.
#[derive(Debug)]
pub(crate) struct BoundedProgram {
    program: Program,
}

impl BoundedProgram {
    /// Compiles a source; rejects sources that violate a bound.
    pub fn compile(
        policy: &PolicyName,
        kind: PolicyProgram,
        source: &str,
    ) -> Result<Self, PolicyError> {
        let compile_error = |line, column, reason, remedy| PolicyError::Program {
            policy: policy.clone(),
            program: kind,
            line,
            column,
            reason,
            remedy,
        };
        if let Err(error) = check_source(source) {
            return Err(compile_error(
                error.line,
                error.column,
                error.reason,
                error.remedy,
            ));
        }
        let program = Program::compile(source).map_err(|errors| {
            let (line, column, reason) = first_error(&errors);
            compile_error(line, column, reason, "correct the expression")
        })?;
        if let Err(Violation {
            node,
            reason,
            remedy,
        }) = cost::check(program.expression())
        {
            let offsets = program.source_info().offset_for(node);
            let start = offsets.map_or(0, |(start, _)| start as usize);
            let (line, column) = line_and_column(source, start);
            return Err(compile_error(line, column, reason, remedy));
        }
        Ok(BoundedProgram { program })
    }

    /// Runs the program; returns the evaluation error as text.
    pub fn run(&self, context: &Context<'_, '_>) -> Result<Value, String> {
        self.program
            .execute(context)
            .map_err(|error| error.to_string())
    }
}

/// Error found before parsing.
struct SourceError {
    line: usize,
    column: usize,
    reason: String,
    remedy: &'static str,
}

/// Bounds the recursion of the parser. Brackets and operators in string literals count as well,
/// which only rejects more sources.
fn check_source(source: &str) -> Result<(), SourceError> {
    let error = |offset: usize, reason: String, remedy| {
        let (line, column) = line_and_column(source, offset);
        Err(SourceError {
            line,
            column,
            reason,
            remedy,
        })
    };
    if source.len() > MAXIMUM_SOURCE_BYTES {
        let reason = format!("source is longer than {MAXIMUM_SOURCE_BYTES} bytes");
        return error(0, reason, "split it into several policies");
    }
    let mut brackets = 0usize;
    let mut prefixes = 0usize;
    let mut conditionals = 0usize;
    for (offset, character) in source.char_indices() {
        match character {
            '(' | '[' | '{' => brackets += 1,
            ')' | ']' | '}' => brackets = brackets.saturating_sub(1),
            '?' => conditionals += 1,
            _ => {}
        }
        match character {
            '!' | '-' => prefixes += 1,
            _ if character.is_whitespace() => {}
            _ => prefixes = 0,
        }
        if brackets > MAXIMUM_BRACKET_DEPTH {
            let reason = format!("brackets are nested deeper than {MAXIMUM_BRACKET_DEPTH}");
            return error(offset, reason, "flatten the expression");
        }
        if prefixes > MAXIMUM_PREFIX_RUN {
            let reason = format!("more than {MAXIMUM_PREFIX_RUN} prefix operators in a row");
            return error(offset, reason, "remove the ones that cancel out");
        }
        if conditionals > MAXIMUM_CONDITIONALS {
            let reason = format!("more than {MAXIMUM_CONDITIONALS} conditional operators");
            return error(offset, reason, "use a map literal or several policies");
        }
    }
    Ok(())
}

/// Returns line and column, both from 1, of a byte offset.
fn line_and_column(source: &str, offset: usize) -> (usize, usize) {
    let mut line = 1;
    let mut column = 1;
    for (_, character) in source.char_indices().take_while(|(at, _)| *at < offset) {
        column += 1;
        if character == '\n' {
            line += 1;
            column = 1;
        }
    }
    (line, column)
}

/// Returns line, column and message of the first syntax error.
fn first_error(errors: &cel::ParseErrors) -> (usize, usize, String) {
    match errors.errors.first() {
        Some(error) => (
            one_based(error.pos.0),
            one_based(error.pos.1),
            error.msg.clone(),
        ),
        None => (1, 1, "syntax error".to_owned()),
    }
}

/// Converts a line or column to a number from 1.
fn one_based(number: impl TryInto<usize>) -> usize {
    number.try_into().unwrap_or(1).max(1)
}
