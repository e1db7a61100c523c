//! Reads an operators' folder into named texts.

use crate::error::ConfigErrors;
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Ending of the files that count; others in the folder are passed over.
const FILE_ENDING: &str = ".json";

/// The texts of all configuration files in `folder`, by file name.
///
/// # Errors
///
/// [`ConfigErrors::Unreadable`] where the folder or a file can't be read, or no file counts.
pub fn read_folder(folder: &Path) -> Result<BTreeMap<String, String>, ConfigErrors> {
    let unreadable =
        |path: &Path, reason: String| ConfigErrors::Unreadable(path.display().to_string(), reason);
    let entries = fs::read_dir(folder).map_err(|err| unreadable(folder, err.to_string()))?;
    let mut files = BTreeMap::new();
    for entry in entries {
        let entry = entry.map_err(|err| unreadable(folder, err.to_string()))?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if !name.ends_with(FILE_ENDING) {
            continue;
        }
        let path = entry.path();
        let text = fs::read_to_string(&path).map_err(|err| unreadable(&path, err.to_string()))?;
        files.insert(name, text);
    }
    match files.is_empty() {
        true => Err(unreadable(folder, format!("it has no file ending in {FILE_ENDING}"))),
        false => Ok(files),
    }
}
