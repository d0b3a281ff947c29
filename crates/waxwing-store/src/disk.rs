//! The interface to a data folder, and its implementation over `std::fs`.

use std::{
    fs, io,
    io::{Read as _, Write as _},
    path,
};

/// A `DiskFile` is a file that is written from its start to its end.
pub trait DiskFile: Send + 'static {
    /// Appends bytes; they may be lost until `sync` returns.
    ///
    /// # Errors
    /// Fails as the operating system does; a part of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content durable.
    ///
    /// # Errors
    /// Fails as the operating system does; what is durable is then unknown.
    fn sync(&mut self) -> io::Result<()>;
}

/// A `Disk` is one flat data folder.
pub trait Disk: Send + 'static {
    /// An open file.
    type File: DiskFile;
    /// A held lock; dropping it releases it.
    type Lock: Send + 'static;

    /// Takes the lock of the folder, or returns `None` if another process holds it.
    ///
    /// # Errors
    /// Fails as the operating system does.
    fn lock(&self, name: &str) -> io::Result<Option<Self::Lock>>;

    /// Returns the names of all files.
    ///
    /// # Errors
    /// Fails as the operating system does.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the content of a file.
    ///
    /// # Errors
    /// Fails as the operating system does.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file, or empties it.
    ///
    /// # Errors
    /// Fails as the operating system does.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Gives a file another name and replaces the file that had it.
    ///
    /// # Errors
    /// Fails as the operating system does.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Fails as the operating system does.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes the names of the files durable.
    ///
    /// # Errors
    /// Fails as the operating system does.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A `FolderDisk` is a folder of the operating system.
#[derive(Debug, Clone)]
pub struct FolderDisk {
    folder: path::PathBuf,
}

impl FolderDisk {
    /// Creates the folder if it is missing.
    ///
    /// # Errors
    /// Fails as the operating system does.
    pub fn open(folder: &path::Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let disk = Self {
            folder: folder.to_path_buf(),
        };
        // The folder's own name must survive as well.
        if let Some(parent) = folder.parent().filter(|parent| parent.is_dir()) {
            fs::File::open(parent)?.sync_all()?;
        }
        Ok(disk)
    }
}

impl DiskFile for fs::File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

impl Disk for FolderDisk {
    type File = fs::File;
    type Lock = fs::File;

    fn lock(&self, name: &str) -> io::Result<Option<Self::Lock>> {
        let file = fs::File::create(self.folder.join(name))?;
        match fs4::FileExt::try_lock(&file) {
            Ok(()) => Ok(Some(file)),
            Err(fs4::TryLockError::WouldBlock) => Ok(None),
            Err(fs4::TryLockError::Error(error)) => Err(error),
        }
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.extend(entry.file_name().into_string().ok());
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut content = Vec::new();
        fs::File::open(self.folder.join(name))?.read_to_end(&mut content)?;
        Ok(content)
    }

    fn create(&self, name: &str) -> io::Result<Self::File> {
        fs::File::create(self.folder.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        fs::File::open(&self.folder)?.sync_all()
    }
}
