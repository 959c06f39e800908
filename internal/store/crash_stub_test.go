package store

func full(string) {}
func holdOpen(string) {}
