//! Collects the names under which serde writes and reads the fields and variants of the types in a file.
use crate::tokens::Token;

const SERDE_DERIVES: [&str; 3] = ["Serialize", "Deserialize", "JsonSchema"];

/// The tokens between the brackets of an attribute.
type Attribute<'a> = &'a [Token];

/// Returns the serde names in one source file, each with its kind: `serde field` or `serde variant`.
pub(crate) fn names(tokens: &[Token]) -> Vec<(&'static str, String)> {
    let mut names = Vec::new();
    let mut attributes = Vec::new();
    let mut position = 0;
    while position < tokens.len() {
        if let Some((attribute, end)) = attribute_at(tokens, position) {
            attributes.push(attribute);
            position = end;
            continue;
        }
        let token = &tokens[position];
        position += 1;
        if token.is_word("struct") || token.is_word("enum") {
            if is_serialized(&attributes)
                && let Some(body) = braced_body(&tokens[position..])
            {
                let rename_all = value_of(&attributes, "rename_all");
                add_members(body, token.is_word("enum"), rename_all, &mut names);
            }
            attributes.clear();
        } else if !is_visibility(token) {
            attributes.clear();
        }
    }
    names
}

fn is_visibility(token: &Token) -> bool {
    token.is('(') || token.is(')') || ["pub", "crate", "super", "in"].iter().any(|word| token.is_word(word))
}

fn is_serialized(attributes: &[Attribute<'_>]) -> bool {
    let derives = attributes.iter().filter(|attribute| attribute.iter().any(|token| token.is_word("derive")));
    derives
        .flat_map(|attribute| attribute.iter())
        .any(|token| SERDE_DERIVES.iter().any(|name| token.is_word(name)))
}

/// Returns the attribute that begins at a position, and the position after it.
fn attribute_at(tokens: &[Token], position: usize) -> Option<(Attribute<'_>, usize)> {
    let is_start = tokens[position].is('#') && tokens.get(position + 1).is_some_and(|next| next.is('['));
    let end = is_start.then(|| closing_bracket(tokens, position + 1))?;
    Some((&tokens[position + 2..end], end + 1))
}

/// Returns the position of the bracket that closes the one at `open`, or the last position if none does.
pub(crate) fn closing_bracket(tokens: &[Token], open: usize) -> usize {
    let mut depth = 0_usize;
    for (position, token) in tokens.iter().enumerate().skip(open) {
        if token.is('(') || token.is('[') || token.is('{') {
            depth += 1;
        } else if token.is(')') || token.is(']') || token.is('}') {
            depth -= 1;
            if depth == 0 {
                return position;
            }
        }
    }
    tokens.len() - 1
}

/// Returns the tokens between the braces of a type, or `None` for a tuple or unit struct.
fn braced_body(after_keyword: &[Token]) -> Option<&[Token]> {
    let open = after_keyword.iter().position(|token| token.is('{') || token.is('(') || token.is(';'))?;
    after_keyword[open].is('{').then(|| &after_keyword[open + 1..closing_bracket(after_keyword, open)])
}

fn add_members(
    body: &[Token],
    is_enum: bool,
    rename_all: Option<&str>,
    names: &mut Vec<(&'static str, String)>,
) {
    let kind = if is_enum { "serde variant" } else { "serde field" };
    for (attributes, member) in members(body) {
        let Some(name_at) =
            member.iter().position(|token| matches!(token, Token::Identifier(_)) && !is_visibility(token))
        else {
            continue;
        };
        let Token::Identifier(identifier) = &member[name_at] else { continue };
        if attributes.iter().any(|attribute| attribute.iter().any(|token| token.is_word("skip"))) {
            continue;
        }
        let renamed = value_of(&attributes, "rename").map(str::to_owned);
        names.push((kind, renamed.unwrap_or_else(|| apply_case(identifier, rename_all))));
        names.extend(value_of(&attributes, "alias").map(|alias| (kind, alias.to_owned())));
        if is_enum && let Some(fields) = braced_body(&member[name_at + 1..]) {
            add_members(fields, false, value_of(&attributes, "rename_all"), names);
        }
    }
}

/// Returns the comma-separated members of a body, each with its attributes.
fn members(body: &[Token]) -> Vec<(Vec<Attribute<'_>>, &[Token])> {
    let mut members = Vec::new();
    let (mut attributes, mut start, mut position) = (Vec::new(), 0, 0);
    let mut angle_depth = 0_usize;
    while position < body.len() {
        if let Some((attribute, end)) = attribute_at(body, position) {
            attributes.push(attribute);
            (position, start) = (end, end);
            continue;
        }
        let token = &body[position];
        if token.is('(') || token.is('[') || token.is('{') {
            position = closing_bracket(body, position);
        }
        if token.is('<') {
            angle_depth += 1;
        } else if token.is('>') {
            angle_depth = angle_depth.saturating_sub(1);
        } else if token.is(',') && angle_depth == 0 {
            members.push((std::mem::take(&mut attributes), &body[start..position]));
            start = position + 1;
        }
        position += 1;
    }
    members.push((attributes, &body[start.min(body.len())..]));
    members
}

/// Returns the value that a serde attribute gives to a key, as in `rename = "value"`.
fn value_of<'a>(attributes: &[Attribute<'a>], key: &str) -> Option<&'a str> {
    let serde = attributes.iter().filter(|attribute| attribute.iter().any(|token| token.is_word("serde")));
    serde.flat_map(|attribute| attribute.windows(3)).find_map(|window| match window {
        [word, equals, Token::Text(text)] if word.is_word(key) && equals.is('=') => Some(text.as_str()),
        _ => None,
    })
}

fn apply_case(identifier: &str, rename_all: Option<&str>) -> String {
    match rename_all {
        Some("lowercase") => identifier.to_lowercase(),
        Some("snake_case") => separate_words(identifier, '_'),
        Some("kebab-case") => separate_words(identifier, '-'),
        Some(other) => panic!("this test does not support `rename_all = \"{other}\"`"),
        None => identifier.to_owned(),
    }
}

/// Returns an identifier in lower case, with a separator before each inner capital and for each underscore.
fn separate_words(identifier: &str, separator: char) -> String {
    let mut name = String::new();
    for (index, character) in identifier.char_indices() {
        if character == '_' {
            name.push(separator);
            continue;
        }
        if index > 0 && character.is_uppercase() {
            name.push(separator);
        }
        name.extend(character.to_lowercase());
    }
    name
}
