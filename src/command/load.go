package command

func runLoad(_ environment, _ LoadOptions) error { return nil }
