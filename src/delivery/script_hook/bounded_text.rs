//! Functions on texts that check the size of their result before they make it.
//!
//! They replace those of the script library, which may make far more than a text or an array may
//! hold before the size is checked, or never return (`pad` by an empty text). Names and results are
//! the library's.

use rhai::{Array, Dynamic, Engine, EvalAltResult, ImmutableString, Position, INT};

/// Maximum length of a string in a script, in bytes.
pub(super) const MAX_TEXT_BYTES: usize = 16 * 1024;
/// Maximum number of items in an array or map.
pub(super) const MAX_ITEMS: usize = 256;

type Text = ImmutableString;
type BoundedResult<T> = Result<T, Box<EvalAltResult>>;

/// Registers the functions, which take precedence over those of the packages.
pub(super) fn register(engine: &mut Engine) {
    engine.register_fn("replace", replace);
    engine.register_fn("replace", |text: &mut Text, from: &str, to: char| {
        replace(text, from, &to.to_string())
    });
    engine.register_fn("replace", |text: &mut Text, from: char, to: &str| {
        replace(text, &from.to_string(), to)
    });
    engine.register_fn("replace", |text: &mut Text, from: char, to: char| {
        replace(text, &from.to_string(), &to.to_string())
    });
    engine.register_fn("pad", pad);
    engine.register_fn("pad", |text: &mut Text, len: INT, padding: char| {
        pad(text, len, &padding.to_string())
    });
    engine.register_fn("to_chars", |text: &str| {
        collect_items(text.chars().map(Dynamic::from))
    });
    register_split(engine);
}

fn register_split(engine: &mut Engine) {
    engine.register_fn("split", |text: Text| split(&text, text.split_whitespace()));
    engine.register_fn("split", |text: Text, delimiter: &str| {
        split(&text, text.split(delimiter))
    });
    engine.register_fn("split", |text: Text, delimiter: char| {
        split(&text, text.split(delimiter))
    });
    engine.register_fn("split", |text: Text, delimiter: &str, parts: INT| {
        split(&text, text.splitn(at_least_one(parts), delimiter))
    });
    engine.register_fn("split", |text: Text, delimiter: char, parts: INT| {
        split(&text, text.splitn(at_least_one(parts), delimiter))
    });
    engine.register_fn("split_rev", |text: Text, delimiter: &str| {
        split(&text, text.rsplit(delimiter))
    });
    engine.register_fn("split_rev", |text: Text, delimiter: char| {
        split(&text, text.rsplit(delimiter))
    });
    engine.register_fn("split_rev", |text: Text, delimiter: &str, parts: INT| {
        split(&text, text.rsplitn(at_least_one(parts), delimiter))
    });
    engine.register_fn("split_rev", |text: Text, delimiter: char, parts: INT| {
        split(&text, text.rsplitn(at_least_one(parts), delimiter))
    });
}

/// Replaces all occurrences of one text in another.
fn replace(text: &mut Text, from: &str, to: &str) -> BoundedResult<()> {
    if text.is_empty() {
        return Ok(());
    }
    let count = text.matches(from).count();
    let kept_bytes = text.len() - count * from.len();
    check_text_bytes(kept_bytes.saturating_add(count.saturating_mul(to.len())))?;
    *text = text.replace(from, to).into();
    Ok(())
}

/// Lengthens a text to so many characters, with as much of the padding as is needed.
fn pad(text: &mut Text, len: INT, padding: &str) -> BoundedResult<()> {
    let len = usize::try_from(len).unwrap_or(0);
    let missing = len.saturating_sub(text.chars().count());
    if missing == 0 || padding.is_empty() {
        return Ok(());
    }
    // A character has a byte at least, so this bounds the characters that are added.
    check_text_bytes(text.len().saturating_add(missing))?;
    let mut padded = String::with_capacity(text.len() + missing);
    padded.push_str(text);
    padded.extend(padding.chars().cycle().take(missing));
    check_text_bytes(padded.len())?;
    *text = padded.into();
    Ok(())
}

/// Returns the parts of a text; an empty text is its only part.
fn split<'a>(text: &Text, parts: impl Iterator<Item = &'a str>) -> BoundedResult<Array> {
    if text.is_empty() {
        return Ok(vec![text.clone().into()]);
    }
    collect_items(parts.map(|part| Text::from(part).into()))
}

fn at_least_one(parts: INT) -> usize {
    usize::try_from(parts).unwrap_or(0).max(1)
}

/// Collects items as long as they fit into an array.
fn collect_items(items: impl Iterator<Item = Dynamic>) -> BoundedResult<Array> {
    let collected: Array = items.take(MAX_ITEMS + 1).collect();
    if collected.len() > MAX_ITEMS {
        return Err(too_large("Size of array/BLOB"));
    }
    Ok(collected)
}

fn check_text_bytes(bytes: usize) -> BoundedResult<()> {
    if bytes > MAX_TEXT_BYTES {
        return Err(too_large("Length of string"));
    }
    Ok(())
}

fn too_large(what: &str) -> Box<EvalAltResult> {
    EvalAltResult::ErrorDataTooLarge(what.into(), Position::NONE).into()
}

#[cfg(test)]
mod tests;
