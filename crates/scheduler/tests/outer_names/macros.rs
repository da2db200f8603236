//! The names in a source file's log macros and counters.
use crate::serde_types::closing;
use crate::tokens::Token;

const LOG_MACROS: [&str; 7] = ["trace", "debug", "info", "warn", "error", "debug_span", "info_span"];
/// What counts an event under a name that stands in the call.
const COUNTERS: [&str; 4] = ["count_event", "count_event_for", "count_violation", "invariant"];

/// The message and the fields of each log line; the message is absent where it is not constant.
pub(crate) fn log_lines(tokens: &[Token]) -> Vec<(Option<String>, Vec<String>)> {
    let calls = calls(tokens, &LOG_MACROS, true);
    calls.into_iter().map(|arguments| (message(arguments), fields(arguments))).collect()
}

/// The names of counters and invariants.
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

/// The arguments of each call of one of these functions or macros.
fn calls<'a>(tokens: &'a [Token], names: &[&str], only_macros: bool) -> Vec<&'a [Token]> {
    let mut calls = Vec::new();
    for (position, token) in tokens.iter().enumerate() {
        if !names.iter().any(|name| token.is_word(name)) {
            continue;
        }
        let is_macro = tokens.get(position + 1).is_some_and(|next| next.is('!'));
        let open = position + 1 + usize::from(is_macro);
        if (is_macro || !only_macros) && tokens.get(open).is_some_and(|next| next.is('(')) {
            calls.push(&tokens[open + 1..closing(tokens, open)]);
        }
    }
    calls
}

/// A log line's last argument, if it is a text without placeholders.
fn message(arguments: &[Token]) -> Option<String> {
    let last = arguments.iter().rev().find(|token| !token.is(','))?;
    text(last).filter(|text| !text.contains('{'))
}

/// The names before `=`, and those of variables that are logged under their own name.
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
