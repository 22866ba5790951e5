package conf

// This file holds the merge of the files' trees.

// merge lays the object from over the object onto: objects merge by field, any
// other value replaces the earlier one, null removes it. A null that removes
// nothing is a stray, since it hides a misspelt name.
func merge(onto, from *node, at *path, out *sheet) {
	from.each(func(name string, kid *node) {
		where := at.to(name)
		old := onto.kid(name)
		switch {
		case kid.kind == kindNull && old == nil:
			out.add(kid.src, int(kid.nameAt), where.String(), "null removes nothing: no earlier file sets it")
		case kid.kind == kindNull:
			onto.drop(name)
		case kid.kind == kindObject && old != nil && old.kind == kindObject:
			merge(old, kid, where, out)
		case kid.kind == kindObject && kid.nulls:
			fresh := &node{src: kid.src, at: kid.at, nameAt: kid.nameAt, kind: kindObject, parts: &parts{}}
			merge(fresh, kid, where, out)
			onto.put(name, fresh)
		default:
			onto.put(name, kid)
		}
	})
}
