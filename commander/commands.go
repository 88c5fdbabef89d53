package commander

// defaultCommands returns every sub-command, in the order of the help.
func (commander *Commander) defaultCommands() []command {
	return []command{
		commander.serveCommand(),
		commander.demoCommand(),
		commander.standinCommand(),
		commander.versionCommand(),
	}
}
