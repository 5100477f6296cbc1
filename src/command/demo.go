package command

func demo(_ environment, _ DemoOptions) error { return nil }

func runLoad(_ environment, _ LoadOptions) error { return nil }
