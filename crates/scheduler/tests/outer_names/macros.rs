//! Collects the names in the log macros and counter calls of a source file.
use crate::serde_types::closing_bracket;
use crate::tokens::Token;

const LOG_MACROS: [&str; 7] = ["trace", "debug", "info", "warn", "error", "debug_span", "info_span"];
/// The functions and macros that count an event under the name given in the call.
const COUNTERS: [&str; 4] = ["count_event", "count_event_for", "count_violation", "invariant"];

/// Returns the message and the field names of each log line. The message is `None` if it is not constant.
pub(crate) fn log_lines(tokens: &[Token]) -> Vec<(Option<String>, Vec<String>)> {
    let calls = calls(tokens, &LOG_MACROS, true);
    calls.into_iter().map(|arguments| (message(arguments), fields(arguments))).collect()
}

/// Returns the names of counters and invariants.
pub(crate) fn counters(tokens: &[Token]) -> Vec<String> {
    let calls = calls(tokens, &COUNTERS, false).into_iter();
    calls.filter_map(|arguments| arguments.iter().find_map(text)).collect()
}

fn text(token: &Token) -> Option<String> {
    match token {
        Token::Text(text) => Some(text.clone()),
        _ => None,
    }
}

/// Returns the argument tokens of each call of the named functions or macros.
fn calls<'a>(tokens: &'a [Token], names: &[&str], only_macros: bool) -> Vec<&'a [Token]> {
    let mut calls = Vec::new();
    for (position, token) in tokens.iter().enumerate() {
        if !names.iter().any(|name| token.is_word(name)) {
            continue;
        }
        let is_macro = tokens.get(position + 1).is_some_and(|next| next.is('!'));
        let open = position + 1 + usize::from(is_macro);
        if (is_macro || !only_macros) && tokens.get(open).is_some_and(|next| next.is('(')) {
            calls.push(&tokens[open + 1..closing_bracket(tokens, open)]);
        }
    }
    calls
}

/// Returns the last argument of a log line if it is a string literal without placeholders.
fn message(arguments: &[Token]) -> Option<String> {
    let last = arguments.iter().rev().find(|token| !token.is(','))?;
    text(last).filter(|text| !text.contains('{'))
}

/// Returns the field names of a log line: those before `=`, and variables logged under their own name.
fn fields(arguments: &[Token]) -> Vec<String> {
    let arguments = arguments.split(|token| token.is(','));
    arguments.filter_map(field).collect()
}

fn field(argument: &[Token]) -> Option<String> {
    let after_sigil = match argument {
        [sigil, rest @ ..] if sigil.is('%') || sigil.is('?') => rest,
        all => all,
    };
    match after_sigil {
        [Token::Identifier(name)] => Some(name.clone()),
        [Token::Identifier(name), equals, ..] if equals.is('=') => Some(name.clone()),
        _ => None,
    }
}
