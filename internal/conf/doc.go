// Package conf reads the settings of a daemon and the operators' folder.
//
// Both are JSON with comments and trailing commas. The folder is a set of
// small files merged in the byte order of their names into one tree: objects
// merge by field, any other value replaces the earlier one, and null removes
// what an earlier file set. Each file is checked by itself against the fields
// that exist, then the merged tree is checked for references, and only a tree
// without a stray becomes a Policy, which is immutable.
//
// Every stray names its file, line, column and field.
package conf
